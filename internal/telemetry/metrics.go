package telemetry

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is the interval at which the scope reports to the page, and so the
// maximum age of a value on the page.
const reportInterval = time.Second

// Metrics is a root scope and the page that exposes its metrics.
type Metrics struct {
	Scope  tally.Scope
	Page   *Page
	closer io.Closer
}

// NewMetrics starts a root scope that tags all metrics with the names of the program
// and the instance. Call Close to stop its reporting.
func NewMetrics(program, instance string) *Metrics {
	page := NewPage()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "chute",
		Separator:              "_",
		Tags:                   map[string]string{"program": program, "instance": instance},
		CachedReporter:         page,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Page: page, closer: closer}
}

// Close reports the remaining values and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
