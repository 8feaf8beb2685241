package router

import "fmt"

// NoUpstreamReason says why no upstream may run a request.
type NoUpstreamReason string

// The reasons of a NoUpstreamError, by the filter that rejected the most upstreams.
const (
	NoUpstreamUnknownPool  NoUpstreamReason = "the pool is unknown or empty"
	NoUpstreamUnknownModel NoUpstreamReason = "no engine of the pool serves the model"
	NoUpstreamDraining     NoUpstreamReason = "all upstreams are shutting down or being changed"
	NoUpstreamOutOfService NoUpstreamReason = "all engines are out of service"
	NoUpstreamKVMemory     NoUpstreamReason = "the request exceeds every engine's KV memory"
	NoUpstreamEjected      NoUpstreamReason = "all upstreams failed lately"
	NoUpstreamExcluded     NoUpstreamReason = "all upstreams have been tried"
	NoUpstreamLimited      NoUpstreamReason = "the limits that upstreams have named are used up"
	NoUpstreamIsolation    NoUpstreamReason = "a suspected request must run apart from others"
)

// NoUpstreamError says that no upstream can run a request now. Nothing was sent.
type NoUpstreamError struct {
	Pool, Model string
	Reason      NoUpstreamReason
	// Members counts the upstreams of the pool and model. Dropped counts how many
	// of the examined ones each filter rejected, in the filters' order.
	Members int
	Dropped []FilterCount
}

// FilterCount is the number of upstreams that one filter rejected.
type FilterCount struct {
	Reason NoUpstreamReason
	Count  int
}

func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("router: no upstream for pool %q, model %q: %s", e.Pool, e.Model, e.Reason)
}
