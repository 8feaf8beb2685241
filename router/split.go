package router

// trySplit returns the plan, or a split of prefill and decode if that is
// expected to be enough faster.
func (p *Scheduler) trySplit(d *decision, whole Plan) Plan { return whole }
