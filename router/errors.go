package router

import "fmt"

// Lack says why no upstream may run a request.
type Lack string

// The reasons for having no upstream, by the filter that dropped the last.
const (
	LackPool     Lack = "the pool is unknown or empty"
	LackModel    Lack = "no engine of the pool serves the model"
	LackLeaving  Lack = "all upstreams are leaving or being changed"
	LackService  Lack = "all engines are out of service"
	LackMemory   Lack = "the request exceeds every engine's KV memory"
	LackEjected  Lack = "all upstreams failed lately"
	LackExcluded Lack = "all upstreams have been tried"
	LackIsolated Lack = "a suspected request must run apart from others"
)

// NoUpstreamError says that a request can't run anywhere now. Nothing was
// sent, so it was not run.
type NoUpstreamError struct {
	Pool, Model string
	Reason      Lack
	// Members counts the upstreams of the pool and model, Dropped how many of
	// those looked at each filter dropped, in the filters' order.
	Members int
	Dropped []Dropped
}

// Dropped is one filter's toll in a decision that found no upstream.
type Dropped struct {
	Reason Lack
	Count  int
}

func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("router: no upstream for pool %q, model %q: %s", e.Pool, e.Model, e.Reason)
}
