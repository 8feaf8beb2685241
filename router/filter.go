package router

import "slices"

// Filter drops upstreams that may not run a request.
type Filter interface {
	// Keep reports whether the candidate may run the request.
	Keep(c *Candidate, r *Request) bool
	// Lack is the reason given if this filter dropped the last candidate.
	Lack() Lack
}

type (
	leavingFilter  struct{}
	serviceFilter  struct{}
	ejectedFilter  struct{}
	trialFilter    struct{}
	excludedFilter struct{}
	isolatedFilter struct{}
	memoryFilter   struct{}
)

// leavingFilter holds new work back from upstreams that leave or are about to
// be changed.
func (leavingFilter) Keep(c *Candidate, _ *Request) bool { return !c.Up.Leaving && !c.Up.Draining }
func (leavingFilter) Lack() Lack                         { return LackLeaving }

// serviceFilter holds work back from an engine whose report has it out of
// service, as during a role change.
func (serviceFilter) Keep(c *Candidate, _ *Request) bool { return !c.outOfService() }
func (serviceFilter) Lack() Lack                         { return LackService }

// ejectedFilter holds work back from an upstream that failed lately.
func (ejectedFilter) Keep(c *Candidate, _ *Request) bool { return !c.Ejected }
func (ejectedFilter) Lack() Lack                         { return LackEjected }

// trialFilter lets an upstream on probation have one request at a time, and
// none that must not fail.
func (trialFilter) Keep(c *Candidate, r *Request) bool {
	return !c.Trial || (c.Trials == 0 && !r.NoTrial)
}
func (trialFilter) Lack() Lack { return LackEjected }

// excludedFilter keeps a retry away from upstreams already tried.
func (excludedFilter) Keep(c *Candidate, r *Request) bool {
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, c.Up.Name)
}
func (excludedFilter) Lack() Lack { return LackExcluded }

// isolatedFilter keeps suspected requests apart from each other.
func (isolatedFilter) Keep(c *Candidate, r *Request) bool {
	return r.MayRunOn == nil || r.MayRunOn(c.Up.Name)
}
func (isolatedFilter) Lack() Lack { return LackIsolated }

// memoryFilter drops engines whose KV memory couldn't hold the request even if
// it were alone there.
func (memoryFilter) Keep(c *Candidate, _ *Request) bool {
	total := c.Up.Report.KVTotalTokens
	return total <= 0 || c.needTokens <= total
}
func (memoryFilter) Lack() Lack { return LackMemory }
