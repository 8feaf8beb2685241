package member

import (
	"context"
	"log/slog"
	"time"

	metrics "github.com/uber-go/tally/v4"

	"tamarackchute/enginemodel"
	"tamarackchute/placement"
)

// parametersInterval is how often the estimated engine parameters are logged and published.
const parametersInterval = 5 * time.Second

// parametersReporter reports the engine parameters that this daemon has estimated, on which its
// decisions are based, and the errors of its predictions.
type parametersReporter struct {
	tracker *placement.Tracker
	scope   metrics.Scope
	log     *slog.Logger
}

// String implements fmt.Stringer; the supervisor logs it.
func (r *parametersReporter) String() string { return "figures of the engines" }

// Serve implements suture.Service.
func (r *parametersReporter) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, parametersInterval)
		for pool, parameters := range r.tracker.Parameters() {
			r.report(pool, parameters)
		}
	}
	return ctx.Err()
}

func (r *parametersReporter) report(pool string, p placement.PoolParameters) {
	r.log.Info("engine parameters", "pool", pool, "figures", p.Parameters.Coefficients(),
		"prefill_readings", p.PrefillError.Count, "prefill_error_p50", p.PrefillError.P50, "prefill_error_p90", p.PrefillError.P90,
		"decode_readings", p.DecodeError.Count, "decode_error_p50", p.DecodeError.P50, "decode_error_p90", p.DecodeError.P90)
	r.publish(pool, "prefill", p.PrefillError)
	r.publish(pool, "decode", p.DecodeError)
}

func (r *parametersReporter) publish(pool, role string, e enginemodel.ErrorStats) {
	s := r.scope.Tagged(map[string]string{"pool": pool, "role": role})
	s.Gauge("reading_error_p50").Update(e.P50)
	s.Gauge("reading_error_p90").Update(e.P90)
}
