package router

import "fmt"

// Lack says why no upstream may run a request.
type NoUpstreamReason string

// The reasons for having no upstream, by the filter that dropped the last.
const (
	NoUpstreamUnknownPool  NoUpstreamReason = "the pool is unknown or empty"
	NoUpstreamUnknownModel NoUpstreamReason = "no engine of the pool serves the model"
	NoUpstreamDraining     NoUpstreamReason = "all upstreams are leaving or being changed"
	NoUpstreamOutOfService NoUpstreamReason = "all engines are out of service"
	NoUpstreamKVMemory     NoUpstreamReason = "the request exceeds every engine's KV memory"
	NoUpstreamEjected      NoUpstreamReason = "all upstreams failed lately"
	NoUpstreamExcluded     NoUpstreamReason = "all upstreams have been tried"
	NoUpstreamIsolation    NoUpstreamReason = "a suspected request must run apart from others"
)

// NoUpstreamError says that a request can't run anywhere now. Nothing was
// sent, so it was not run.
type NoUpstreamError struct {
	Pool, Model string
	Reason      NoUpstreamReason
	// Members counts the upstreams of the pool and model, Dropped how many of
	// those looked at each filter dropped, in the filters' order.
	Members int
	Dropped []FilterCount
}

// Dropped is one filter's toll in a decision that found no upstream.
type FilterCount struct {
	Reason NoUpstreamReason
	Count  int
}

func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("router: no upstream for pool %q, model %q: %s", e.Pool, e.Model, e.Reason)
}
