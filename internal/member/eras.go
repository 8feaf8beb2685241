package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackchute/internal/notify"
)

// Eras follows the era of the store: it rises each time the store comes back from an
// older copy. What was read or written in an earlier era may be lost. The zero value is that
// of a store that hasn't answered yet.
type EraTracker struct {
	mu       sync.Mutex
	current  uint64
	observed bool
	log      *slog.Logger
	changes  notify.Changes
}

// Current returns the latest era told of.
func (e *EraTracker) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Changed returns a channel that closes when the era rises. Take the channel before the
// era, so that no change falls between the two.
func (e *EraTracker) Changed() <-chan struct{} { return e.changes.Changed() }

// LogTo sets where changes are logged.
func (e *EraTracker) SetLogger(log *slog.Logger) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = log
}

// Refused logs an era that can't be read.
func (e *EraTracker) LogInvalid(value, source string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warn("era of the store not read", "named", value, "by", source, "err", err)
}

// warn logs if it was said where. e.mu is held.
func (e *EraTracker) warn(message string, args ...any) {
	if e.log != nil {
		e.log.Warn(message, args...)
	}
}

// Note takes an era that an answer or another daemon has named, and reports whether it is
// the current one: an answer of an earlier era came late. by says who told it. The first
// one told is no change.
func (e *EraTracker) Observe(era uint64, source string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era < e.current {
		return false
	}
	risen := e.observed && era > e.current
	if risen {
		e.warn("store restored from an older copy", "era", era, "before", e.current, "by", source)
	}
	e.current, e.observed = era, true
	if risen {
		e.changes.Wake()
	}
	return true
}

// restartPerDaemon spreads the first reads and writes of a new era, by the number of
// daemons that make them.
const restartSpreadPerDaemon = 4 * time.Millisecond

// eraFollower lets the readers that wait begin anew in a new era.
type eraFollower struct {
	eras    *EraTracker
	readers []*topicReader
	daemons func() int
}

// String names the service for the supervisor.
func (f *eraFollower) String() string { return "eras of the store" }

// Serve implements suture.Service.
func (f *eraFollower) Serve(ctx context.Context) error {
	for {
		changed := f.eras.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		sleep(ctx, spreadDelay(f.daemons()))
		for _, r := range f.readers {
			r.restartRead()
			r.expedite()
		}
	}
}

// turn draws a time to wait, so that all daemons together call the store at a bounded rate.
func spreadDelay(daemons int) time.Duration {
	return rand.N(time.Duration(max(1, daemons)) * restartSpreadPerDaemon)
}
