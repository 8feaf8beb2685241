package router

import (
	"time"

	"tamarackchute/infra"
	"tamarackchute/upstream"
)

// Candidate is an upstream under consideration for one request.
type Candidate struct {
	Upstream *Upstream
	// Work is the work in flight there: the report corrected by local work.
	Work     Work
	InFlight int
	// Ejected and Probing are its health at the time of the decision.
	Ejected, Probing bool
	// Limited says that the limit that the upstream has named allows no request now.
	Limited bool
	// Probes counts this process's probes in flight there.
	Probes int
	// Link is the one-way latency from the request's data centre.
	Link           time.Duration
	SameDataCentre bool
	// CachedTokens is the part of the prompt expected in its prefix cache.
	CachedTokens int
	// ReportAge is the time since the load report was measured.
	ReportAge time.Duration
	Estimate  Estimate
	// Cost is the sum of the scorers' costs.
	Cost time.Duration

	node     *node
	model    engineModel
	kvTokens int           // KV tokens that the request takes
	timeLeft time.Duration // until the deadline, or noDeadline
}

// fill sets the candidate from the current state of a node.
func (c *Candidate) fill(s *Snapshot, n *node, r *Request, dc int32, now time.Time) {
	u := n.state.Load()
	*c = Candidate{Upstream: u, node: n, SameDataCentre: n.dc == dc, Link: s.latency[dc][n.dc], timeLeft: noDeadline}
	if !r.Deadline.IsZero() {
		c.timeLeft = r.Deadline.Sub(now)
	}
	h := n.healthAt(now)
	c.Ejected = h == ejected
	c.Probing = h == probing
	c.Limited = s.cfg.Limited != nil && s.cfg.Limited(u.Name)
	c.Probes = int(n.live.probes.Load())
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

// outOfService reports whether the engine's own report has it out of service.
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
