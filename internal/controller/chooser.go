package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"tamarackchute/internal/settings"
	"tamarackchute/orders"
	"tamarackchute/rolepolicy"
	"tamarackchute/upstream"
)

// A decision of the role policy comes decisionsPerChange times in the time that
// a change takes, within bounds; the engines' reports come as often.
const (
	decisionsPerChange = 4
	fastestPace        = 100 * time.Millisecond
	slowestPace        = time.Second
)

// pace is the time between two decisions.
func pace(r settings.Roles) time.Duration {
	return min(slowestPace, max(fastestPace, seconds(r.ChangeSeconds/decisionsPerChange)))
}

// Chooser asks the role policy what to change and hands its decisions to the
// executors. It is a suture service.
type Chooser struct {
	dataCentre string
	engines    []settings.Upstream
	newPolicy  func() (rolepolicy.Policy, error)
	every      time.Duration
	executors  map[string]*Executor
	leading    func() bool
	view       *orders.View
	presence   *Presence
	statuses   *Statuses
	loads      *Loads
	log        *slog.Logger
}

// String names the service for the supervisor's log.
func (c *Chooser) String() string { return "role policy" }

// Serve decides until the context ends. A policy's history begins anew with
// each time of leading: what it knew from an earlier one is out of date.
func (c *Chooser) Serve(ctx context.Context) error {
	var policy rolepolicy.Policy
	for ctx.Err() == nil {
		sleep(ctx, c.every)
		if !c.leading() {
			policy = nil
			continue
		}
		if policy == nil {
			p, err := c.newPolicy()
			if err != nil {
				return err
			}
			policy = p
		}
		c.decide(policy, time.Now())
	}
	return ctx.Err()
}

func (c *Chooser) decide(p rolepolicy.Policy, now time.Time) {
	for _, d := range p.Decide(c.picture(now), now) {
		x, ok := c.executors[d.Engine]
		if !ok {
			c.log.Warn("decision about an engine of another data centre", "engine", d.Engine)
			continue
		}
		c.log.Info("role change wanted", "engine", d.Engine, "from", d.From, "to", d.To, "reason", d.Reason)
		x.Ask(orders.ChangeRequest{
			ID: uuid.NewString(), Kind: upstream.OrderRole,
			Target: orders.Settings{Role: d.To}, Reason: d.Reason,
		})
	}
}

func (c *Chooser) picture(now time.Time) rolepolicy.State {
	s := rolepolicy.State{DataCentre: c.dataCentre, Demand: c.statuses.Demand()}
	snapshot := c.view.Snapshot()
	for _, e := range c.engines {
		if c.presence.Leaving(e.Name) {
			continue
		}
		s.Engines = append(s.Engines, c.engine(e, snapshot.Engine(e.Name), now))
	}
	return s
}

// engine describes one engine: its role from the journal, or else from its own
// report, or else from the settings.
func (c *Chooser) engine(e settings.Upstream, known orders.Engine, now time.Time) rolepolicy.Engine {
	out := rolepolicy.Engine{
		Name: e.Name, DataCentre: e.DataCentre, Models: e.Models,
		Role: upstream.Role(e.Role), ReportAge: time.Duration(1<<63 - 1),
	}
	if l, ok := c.loads.of(e.Name); ok {
		out.Role = l.report.Role
		out.InService = l.report.InService
		out.ReportAge = l.age(now)
		out.Reported = rolepolicy.Rates{Prefill: l.report.PrefillPerSec, Decode: l.report.DecodePerSec}
		out.Running, out.Waiting = l.report.Running, l.report.Waiting
		out.QueuedPrompt, out.MaxBatch = l.report.QueuedPrompt, l.report.MaxBatch
	}
	if known.Observed.Role != "" {
		out.Role = known.Observed.Role
	}
	if ch := known.Change; ch != nil {
		out.Changing = ch.Phase.Open()
		out.To = ch.Target.Role
		out.LastChange = ch.PhaseAt
	}
	return out
}
