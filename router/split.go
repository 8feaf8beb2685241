package router

import (
	"time"

	"tamarackchute/upstream"
)

// kvTransferFactors are the learned ratios of observed to configured KV transfer
// time, within a data centre and between two.
type kvTransferFactors struct{ sameDC, crossDC atomicFloat }

func newKVTransferFactors() *kvTransferFactors {
	f := &kvTransferFactors{}
	f.sameDC.store(1)
	f.crossDC.store(1)
	return f
}

func (f *kvTransferFactors) factor(same bool) *atomicFloat {
	if same {
		return &f.sameDC
	}
	return &f.crossDC
}

// kvTransferSeconds is the time to transfer a prompt's KV cache between two
// engines by the configured rates, plus a round trip.
func (c *Config) kvTransferSeconds(tokens int, same bool, oneWay time.Duration) float64 {
	rate := c.CrossDCKVTransferBytesPerSecond
	if same {
		rate = c.KVTransferBytesPerSecond
	}
	return c.KVBytesPerToken*float64(tokens)/rate + 2*oneWay.Seconds()
}

// trySplit returns the plan, or a split of prefill and decode if that costs less by
// MinSplitGain. A split pays for a long prompt with many output tokens, whose
// prefill would delay the decode engines' streams; it costs the KV transfer and a
// queue at each of two engines.
func (p *Scheduler) trySplit(d *decision, single Plan, cost time.Duration) Plan {
	if d.r.NoSplit || d.r.PromptTokens-single.CachedTokens < p.cfg.MinSplitTokens || len(d.g.prefill) == 0 {
		return single
	}
	pre := d.prefillCandidates(p)
	if len(pre) == 0 {
		return single
	}
	i, _ := p.Picker.Pick(pre, d.r, d.rnd)
	dec := d.decodeCandidates(p, &pre[i])
	if len(dec) == 0 {
		return single
	}
	j, _ := p.Picker.Pick(dec, d.r, d.rnd)
	if float64(dec[j].Cost) > float64(cost)*(1-p.cfg.MinSplitGain) {
		return single
	}
	return Plan{
		Engine:       dec[j].Upstream.Name,
		Prefill:      pre[i].Upstream.Name,
		Estimate:     dec[j].Estimate,
		Reason:       ReasonSplit,
		CachedTokens: pre[i].CachedTokens,
		Considered:   len(pre) + len(dec),
	}
}

// prefillCandidates scores the prefill engines by the time until the prompt's
// prefill is done.
func (d *decision) prefillCandidates(p *Scheduler) []Candidate {
	out := d.sc.prefill[:0]
	for _, n := range d.sampleOf(d.g.prefill) {
		var c Candidate
		c.fill(d.s, n, d.r, d.dc, d.now)
		c.kvTokens = d.r.PromptTokens
		if c.Probing || firstDrop(p.Filters, &c, d.r) >= 0 {
			continue
		}
		c.CachedTokens = d.expectedCachedTokens(n)
		c.estimatePrefill(p, d.r)
		out = append(out, c)
	}
	d.sc.prefill = out
	return out
}

func (c *Candidate) estimatePrefill(p *Scheduler, r *Request) {
	prompt := max(1, r.PromptTokens-c.CachedTokens)
	queue := c.queueWaitSeconds()
	done := queue + c.model.prefillSeconds(float64(prompt), min(c.Work.Requests, c.model.batch)) + 2*c.Link.Seconds()
	c.Estimate = Estimate{seconds(queue), seconds(done), seconds(done), c.model.unloadedTime(float64(prompt), 0)}
	c.Cost = weightByUrgency(c.Estimate.Complete, c.timeLeft) + seconds(p.cfg.OccupancyWeight*c.occupancy(prompt, 0))
	c.Cost += p.cfg.crossDCCost(c)
}

// decodeCandidates scores the engines that can decode after a prefill engine;
// their estimates and costs are those of the whole split.
func (d *decision) decodeCandidates(p *Scheduler, pre *Candidate) []Candidate {
	out := d.sc.decode[:0]
	for i := range d.sc.cands {
		c := d.sc.cands[i]
		if c.role() == upstream.RolePrefill || c.Probing || c.node == pre.node {
			continue
		}
		same := c.node.dc == pre.node.dc
		oneWay := d.s.latency[pre.node.dc][c.node.dc]
		transfer := p.cfg.kvTransferSeconds(d.r.PromptTokens, same, oneWay) * d.s.kvTransfer.factor(same).load()
		c.estimateDecode(p, d.r, pre, transfer)
		out = append(out, c)
	}
	d.sc.decode = out
	return out
}

func (c *Candidate) estimateDecode(p *Scheduler, r *Request, pre *Candidate, transfer float64) {
	m := &c.model
	wait := c.slotWaitSeconds()
	first := pre.Estimate.Complete.Seconds() + transfer + wait + m.step(c.Work.Requests+1) + 2*c.Link.Seconds()
	output := c.node.expectedOutput(r)
	complete := first + output*m.step(c.Work.Requests+1)
	unloaded := pre.Estimate.Unloaded + seconds(transfer) + m.unloadedTime(0, output)
	c.Estimate = Estimate{pre.Estimate.Queue, seconds(first), seconds(complete), unloaded}
	c.Cost = pre.Cost - weightByUrgency(pre.Estimate.Complete, c.timeLeft) + weightByUrgency(c.Estimate.Complete, c.timeLeft)
	c.Cost += seconds(p.cfg.OccupancyWeight * c.occupancy(0, r.OutputTokens))
	c.Cost += p.cfg.crossDCCost(c)
}
