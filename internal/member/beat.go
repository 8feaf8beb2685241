package member

import (
	"sync"
	"time"

	"tamarackchute/internal/boottime"
)

// maxBeatGap is the time between two beats above which the process stood still: it was suspended, or had
// no processor.
const maxBeatGap = peerTimeout

// beat notices that the process stood still. What a timer would have changed meanwhile still looks as it
// did before, and what others sent meanwhile arrives as if it was new.
type beat struct {
	// elapsed is a clock that also runs while the machine is suspended.
	elapsed func() time.Duration

	mu sync.Mutex
	// last is the time of the last beat; resumed is when the process last went on.
	last    time.Duration
	resumed time.Time
}

func newBeat() *beat { return &beat{elapsed: boottime.Now, last: boottime.Now()} }

// tick records that the process runs. It returns how long it stood still before, 0 if it didn't.
func (b *beat) tick(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := b.elapsed()
	gap := elapsed - b.last
	b.last = elapsed
	if gap <= maxBeatGap {
		return 0
	}
	b.resumed = now
	return gap
}

// resumedAt returns when the process last went on after it had stood still; zero if it never has.
func (b *beat) resumedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.resumed
}

// unbroken reports whether the process has run since a time, without standing still.
func (b *beat) unbroken(since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.elapsed()-b.last <= maxBeatGap && !b.resumed.After(since)
}
