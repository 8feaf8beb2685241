package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackchute/membership"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// gauges exports the state of the entry's components as metrics.
type gauges struct {
	entry *Entry
	scope tally.Scope
	// refused holds admission's counts as last exported, by reason.
	refused map[string]uint64
}

func newGauges(e *Entry) *gauges {
	return &gauges{entry: e, scope: e.cfg.Metrics.Scope, refused: map[string]uint64{}}
}

func (g *gauges) String() string { return "gauges" }

// Serve updates the gauges until ctx ends.
func (g *gauges) Serve(ctx context.Context) error {
	return runEvery(ctx, gaugeInterval, g.update)
}

func (g *gauges) update() {
	e := g.entry
	g.set("requests_in_progress", float64(e.gateway.Active()))
	g.set("kept_text_bytes", float64(e.answers.MemoryBudget.Used()))
	g.set("local_load", e.load.get())
	g.updateLog()
	g.updateAdmission()
	claims := e.claims.Stats()
	g.set("claims_keys", float64(claims.Keys))
	g.set("claims_active", float64(claims.Active))
	g.set("claims_outcomes_dropped", float64(claims.Dropped))
	g.set("claims_history_complete", boolGauge(claims.Complete))
	live := 0
	for _, m := range e.node.View().Members {
		if m.State == membership.Live {
			live++
		}
	}
	g.set("instances_live", float64(live))
}

func (g *gauges) updateLog() {
	e := g.entry
	health, stats := e.journal.Health(), e.journal.Stats()
	g.set("log_up", boolGauge(health.LogUp))
	g.set("log_pending_entries", float64(health.Pending))
	g.set("log_applied_offset", float64(e.journal.Applied().Offset))
	g.set("log_appends", float64(stats.Appends))
	g.set("log_appends_failed", float64(stats.FailedAppends))
	rules := e.replica.Status()
	g.set("rules_version_offset", float64(rules.InForce.Offset))
	g.set("rules_settled", boolGauge(rules.Settled))
}

func (g *gauges) updateAdmission() {
	counts := g.entry.admission.Counts()
	g.set("admission_waiting", float64(counts.Waiting))
	g.set("admission_admitted", float64(counts.Admitted))
	for reason, n := range counts.Refused {
		tagged := g.scope.Tagged(map[string]string{"reason": string(reason)})
		tagged.Counter("admission_refused").Inc(int64(n - g.refused[string(reason)]))
		g.refused[string(reason)] = n
	}
}

func (g *gauges) set(name string, value float64) { g.scope.Gauge(name).Update(value) }

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
