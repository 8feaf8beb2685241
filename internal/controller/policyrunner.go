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

// The role policy runs decisionsPerChange times in the duration of a change, within bounds.
// The engines' load is polled at the same interval.
const (
	decisionsPerChange  = 4
	minDecisionInterval = 100 * time.Millisecond
	maxDecisionInterval = time.Second
)

// decisionInterval returns the time between two decisions.
func decisionInterval(r settings.Roles) time.Duration {
	return min(maxDecisionInterval, max(minDecisionInterval, seconds(r.ChangeSeconds/decisionsPerChange)))
}

// PolicyRunner runs the role policy and hands its decisions to the executors. It is a
// suture service.
type PolicyRunner struct {
	dataCentre    string
	engines       []settings.Upstream
	newPolicy     func() (rolepolicy.Policy, error)
	interval      time.Duration
	executors     map[string]*Executor
	leading       func() bool
	view          *orders.View
	instances     *Presence
	entryStatuses *StatusTracker
	loadReports   *LoadPoller
	log           *slog.Logger
}

// String names the service for the supervisor's log.
func (c *PolicyRunner) String() string { return "role policy" }

// Serve runs the policy until the context ends. Each time this process begins to lead, it
// creates a new policy, because the history of an earlier one is out of date.
func (c *PolicyRunner) Serve(ctx context.Context) error {
	var policy rolepolicy.Policy
	for ctx.Err() == nil {
		sleep(ctx, c.interval)
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

func (c *PolicyRunner) decide(p rolepolicy.Policy, now time.Time) {
	for _, d := range p.Decide(c.policyState(now), now) {
		x, ok := c.executors[d.Engine]
		if !ok {
			c.log.Warn("role decision ignored: the engine is in another data centre", "engine", d.Engine)
			continue
		}
		c.log.Info("role change requested", "engine", d.Engine, "from", d.From, "to", d.To, "reason", d.Reason)
		x.Request(orders.ChangeRequest{
			ID: uuid.NewString(), Kind: upstream.OrderRole,
			Target: orders.Settings{Role: d.To}, Reason: d.Reason,
		})
	}
}

func (c *PolicyRunner) policyState(now time.Time) rolepolicy.State {
	s := rolepolicy.State{DataCentre: c.dataCentre, Demand: c.entryStatuses.Demand()}
	snapshot := c.view.Snapshot()
	for _, e := range c.engines {
		if c.instances.TerminatingOrGone(e.Name) {
			continue
		}
		s.Engines = append(s.Engines, c.engineState(e, snapshot.Engine(e.Name), now))
	}
	return s
}

// engineState describes one engine. Its role is taken from the journal if known, else from
// the engine's report, else from the settings. Without a report, the report's age is the
// highest possible.
func (c *PolicyRunner) engineState(e settings.Upstream, known orders.Engine, now time.Time) rolepolicy.Engine {
	out := rolepolicy.Engine{
		Name: e.Name, DataCentre: e.DataCentre, Models: e.Models,
		Role: upstream.Role(e.Role), ReportAge: time.Duration(1<<63 - 1),
	}
	if load, ok := c.loadReports.latest(e.Name); ok {
		out.Role = load.report.Role
		out.InService = load.report.InService
		out.ReportAge = load.age(now)
		out.Reported = rolepolicy.Rates{Prefill: load.report.PrefillPerSecond, Decode: load.report.DecodePerSecond}
		out.Running, out.Waiting = load.report.Running, load.report.Waiting
		out.QueuedPrompt, out.MaxBatch = load.report.QueuedPrompt, load.report.MaxBatch
	}
	if known.Observed.Role != "" {
		out.Role = known.Observed.Role
	}
	if change := known.Change; change != nil {
		out.Changing = change.Phase.Open()
		out.To = change.Target.Role
		out.LastChange = change.PhaseAt
	}
	return out
}
