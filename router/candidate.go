package router

import (
	"time"

	"tamarackchute/platform"
	"tamarackchute/upstream"
)

// Candidate is an upstream under consideration for one request.
type Candidate struct {
	Up *Upstream
	// Work is what is in flight there, the report corrected by own work.
	Work     Work
	InFlight int
	// Ejected and Trial are its standing at the time of the decision.
	Ejected, Trial bool
	// Link is the one-way latency from the request's data centre.
	Link  time.Duration
	Local bool
	// CachedTokens is how much of the prompt its cache should hold.
	CachedTokens int
	// ReportAge is how old the load report's figures are.
	ReportAge time.Duration
	Estimate  Estimate
	// Cost is the sum of the scorers' costs.
	Cost time.Duration

	node *node
	rate rates
}

// rates is what an engine gets done, by its report and by what was learnt.
type rates struct {
	prefill float64 // prompt tokens a second
	decode  float64 // output tokens a second over all its streams
	batch   int
}

// load reads a node for a decision.
func (c *Candidate) load(s *Snapshot, n *node, dc int32, now time.Time) {
	u := n.state.Load()
	*c = Candidate{Up: u, node: n, Local: n.dc == dc, Link: s.latency[dc][n.dc]}
	h := n.standing(now)
	c.Ejected = h == ejected
	c.Trial = h == trial
	c.InFlight = int(n.live.inFlight.Load())
	c.Work = Work{
		Requests:     max(0, u.Report.Running+u.Report.Waiting+int(n.live.requests.Load())),
		PromptTokens: max(0, u.Report.QueuedPrompt+int(n.live.prompt.Load())),
		OutputTokens: max(0, int(n.live.output.Load())),
	}
	if !u.ReportAt.IsZero() {
		c.ReportAge = max(0, now.Sub(u.ReportAt))
	}
	if u.Kind == platform.KindEngine {
		c.rate = ratesOf(&s.cfg, u, &n.live)
	}
}

// ratesOf takes the report's rates, or the settings' where there is none, and
// corrects them by what was learnt.
func ratesOf(cfg *Config, u *Upstream, l *live) rates {
	r := rates{u.Report.PrefillPerSec, u.Report.DecodePerSec, u.Report.MaxBatch}
	if r.prefill <= 0 {
		r.prefill = cfg.PrefillPerSecond
	}
	if r.decode <= 0 {
		r.decode = cfg.DecodePerSecond
	}
	if r.batch <= 0 {
		r.batch = cfg.MaxBatch
	}
	r.prefill /= l.prefillFactor.load()
	r.decode /= l.gapFactor.load()
	return r
}

// outOfService says that the engine's own report has it out of service.
func (c *Candidate) outOfService() bool {
	return c.Up.Kind == platform.KindEngine && !c.Up.ReportAt.IsZero() && !c.Up.Report.InService
}

// role returns the role in force; an engine of unknown role counts as mixed.
func (c *Candidate) role() upstream.Role {
	if c.Up.Role == "" {
		return upstream.RoleMixed
	}
	return c.Up.Role
}
