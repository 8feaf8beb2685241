package telemetry

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is how often the scope hands its figures to the page, and so
// the greatest age of a figure on it.
const reportInterval = time.Second

// Metrics is a root scope with the page that shows it.
type Metrics struct {
	Scope  tally.Scope
	Page   *Page
	closer io.Closer
}

// NewMetrics starts a root scope whose figures all carry the program's and the
// instance's name. Close ends its reporting.
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

// Close stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
