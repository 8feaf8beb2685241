package controller

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/upstream"
)

// loadTimeout bounds the wait for an engine's load report.
const loadTimeout = 2 * time.Second

// LoadReporter is the part of an engine that tells its load.
type LoadReporter interface {
	Load(ctx context.Context) (upstream.LoadReport, error)
}

// LoadPoller keeps the last load report of each engine while this process leads.
// It is a suture service.
type LoadPoller struct {
	engines map[string]LoadReporter
	leading func() bool
	every   time.Duration

	mu   sync.Mutex
	last map[string]load
}

type load struct {
	report upstream.LoadReport
	at     time.Time
}

// age is how old the figures of a report are, the engine's own lag included.
func (l load) age(now time.Time) time.Duration {
	return now.Sub(l.at) + time.Duration(l.report.AgeMillis)*time.Millisecond
}

// NewLoadPoller returns a poller of the engines; it reads only while leading says so,
// and then each engine so often.
func NewLoadPoller(engines map[string]LoadReporter, leading func() bool, every time.Duration) *LoadPoller {
	return &LoadPoller{engines: engines, leading: leading, every: every, last: map[string]load{}}
}

// String names the service for the supervisor's log.
func (l *LoadPoller) String() string { return "load reports" }

// Serve polls until the context ends. An engine that doesn't answer holds up
// its own next report alone.
func (l *LoadPoller) Serve(ctx context.Context) error {
	var wg conc.WaitGroup
	for name, e := range l.engines {
		wg.Go(func() { l.follow(ctx, name, e) })
	}
	wg.Wait()
	return ctx.Err()
}

func (l *LoadPoller) follow(ctx context.Context, name string, e LoadReporter) {
	for ctx.Err() == nil {
		if l.leading() {
			l.poll(ctx, name, e)
		}
		sleep(ctx, l.every)
	}
}

func (l *LoadPoller) poll(ctx context.Context, name string, e LoadReporter) {
	pollCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := e.Load(pollCtx)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[name] = load{report: report, at: time.Now()}
}

func (l *LoadPoller) of(engine string) (load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.last[engine]
	return r, ok
}
