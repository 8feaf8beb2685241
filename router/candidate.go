package router

import (
	"time"

	"tamarackchute/infra"
	"tamarackchute/upstream"
)

// Candidate is an upstream under consideration for one request.
type Candidate struct {
	Upstream *Upstream
	// Work is what is in flight there, the report corrected by own work.
	Work     Work
	InFlight int
	// Ejected and Trial are its standing at the time of the decision.
	Ejected, Trial bool
	// Trials counts the requests in flight that are to show whether it is well.
	Trials int
	// Link is the one-way latency from the request's data centre.
	Link           time.Duration
	SameDataCentre bool
	// CachedTokens is how much of the prompt its cache should hold.
	CachedTokens int
	// ReportAge is how old the load report's figures are.
	ReportAge time.Duration
	Estimate  Estimate
	// Cost is the sum of the scorers' costs.
	Cost time.Duration

	node     *node
	model    engineModel
	kvTokens int           // KV tokens that the request takes
	slack    time.Duration // until the deadline, or noSlack
}

// load reads a node for a decision.
func (c *Candidate) fill(s *Snapshot, n *node, r *Request, dc int32, now time.Time) {
	u := n.state.Load()
	*c = Candidate{Upstream: u, node: n, SameDataCentre: n.dc == dc, Link: s.latency[dc][n.dc], slack: noSlack}
	if !r.Deadline.IsZero() {
		c.slack = r.Deadline.Sub(now)
	}
	h := n.healthAt(now)
	c.Ejected = h == ejected
	c.Trial = h == trial
	c.Trials = int(n.live.trials.Load())
	c.InFlight = int(n.live.inFlight.Load())
	if !u.ReportAt.IsZero() {
		c.ReportAge = max(0, now.Sub(u.ReportAt))
	}
	c.Work = n.currentWork(&s.cfg, u, c.ReportAge)
	if u.Kind == infra.KindEngine {
		c.model = modelOf(&s.cfg, u, &n.live)
		c.kvTokens = r.PromptTokens + r.OutputTokens
	}
}

// outOfService says that the engine's own report has it out of service.
func (c *Candidate) outOfService() bool {
	return c.Upstream.Kind == infra.KindEngine && !c.Upstream.ReportAt.IsZero() && !c.Upstream.Report.InService
}

// role returns the role in force; an engine of unknown role counts as mixed.
func (c *Candidate) role() upstream.Role {
	if c.Upstream.Role == "" {
		return upstream.RoleMixed
	}
	return c.Upstream.Role
}
