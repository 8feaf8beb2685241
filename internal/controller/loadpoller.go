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

// LoadReporter returns an engine's current load report.
type LoadReporter interface {
	Load(ctx context.Context) (upstream.LoadReport, error)
}

// LoadPoller polls every engine for its load report while this process leads, and keeps the
// last one. It is a suture service.
type LoadPoller struct {
	engines  map[string]LoadReporter
	leading  func() bool
	interval time.Duration

	mu   sync.Mutex
	last map[string]receivedLoad
}

type receivedLoad struct {
	report upstream.LoadReport
	at     time.Time
}

// age returns the age of a report's measurements, including the engine's own delay.
func (l receivedLoad) age(now time.Time) time.Duration {
	return now.Sub(l.at) + time.Duration(l.report.AgeMillis)*time.Millisecond
}

// NewLoadPoller returns a poller that requests a report from each engine once per interval
// while leading returns true.
func NewLoadPoller(engines map[string]LoadReporter, leading func() bool, interval time.Duration) *LoadPoller {
	return &LoadPoller{engines: engines, leading: leading, interval: interval, last: map[string]receivedLoad{}}
}

// String names the service for the supervisor's log.
func (l *LoadPoller) String() string { return "load reports" }

// Serve polls until the context ends. Engines are polled independently, so an engine that
// doesn't answer delays only its own reports.
func (l *LoadPoller) Serve(ctx context.Context) error {
	var wg conc.WaitGroup
	for name, e := range l.engines {
		wg.Go(func() { l.pollEngine(ctx, name, e) })
	}
	wg.Wait()
	return ctx.Err()
}

func (l *LoadPoller) pollEngine(ctx context.Context, name string, e LoadReporter) {
	for ctx.Err() == nil {
		if l.leading() {
			l.poll(ctx, name, e)
		}
		sleep(ctx, l.interval)
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
	l.last[name] = receivedLoad{report: report, at: time.Now()}
}

func (l *LoadPoller) latest(engine string) (receivedLoad, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.last[engine]
	return r, ok
}
