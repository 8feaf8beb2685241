package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackchute/internal/notify"
)

// EraTracker tracks the era of the store, which rises each time the store is restored from an
// older copy. What was read or written in an earlier era may be lost. The zero value is ready
// for use.
type EraTracker struct {
	mu       sync.Mutex
	current  uint64
	observed bool
	// since is when the current era was first observed.
	since   time.Time
	log     *slog.Logger
	changes notify.Broadcaster
}

// Current returns the latest era observed.
func (e *EraTracker) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Age returns how long ago an era was first observed, zero if it isn't the latest one.
func (e *EraTracker) Age(era uint64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.observed || era != e.current {
		return 0
	}
	return time.Since(e.since)
}

// Changed returns a channel that closes when the era rises. Get the channel before reading the
// era, so that no change is missed between the two.
func (e *EraTracker) Changed() <-chan struct{} { return e.changes.Changed() }

// SetLogger sets where changes are logged.
func (e *EraTracker) SetLogger(log *slog.Logger) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = log
}

// LogInvalid logs an era that can't be parsed.
func (e *EraTracker) LogInvalid(value, source string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warn("invalid store era", "named", value, "by", source, "err", err)
}

// warn logs if a logger is set. e.mu is held.
func (e *EraTracker) warn(message string, args ...any) {
	if e.log != nil {
		e.log.Warn(message, args...)
	}
}

// Observe records an era named by an answer or another daemon, and reports whether it is the
// current one; it isn't if a delayed answer names an earlier one. source says where it came
// from. The first era observed isn't a change.
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
	if risen || !e.observed {
		e.since = time.Now()
	}
	e.current, e.observed = era, true
	if risen {
		e.changes.Broadcast()
	}
	return true
}

// restartSpreadPerDaemon is the time per daemon over which the first reads and writes of a new
// era are spread.
const restartSpreadPerDaemon = 4 * time.Millisecond

// eraFollower restarts the topic readers in a new era.
type eraFollower struct {
	eras    *EraTracker
	readers []*topicReader
	daemons func() int
}

// String implements fmt.Stringer; the supervisor logs it.
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

// spreadDelay returns a random delay that limits the rate at which all daemons together call the
// store.
func spreadDelay(daemons int) time.Duration {
	return rand.N(time.Duration(max(1, daemons)) * restartSpreadPerDaemon)
}
