package member

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// longWait is how long the store may keep a read waiting for a change.
	longPollTimeout = 20 * time.Second
	// upstreamsEvery is the least time between two reads of the upstreams'
	// entries. Each of them is written about once a second, so a waiting read
	// returns at once; a change must be known well within a leaving upstream's
	// last two seconds.
	upstreamsInterval = 450 * time.Millisecond
	// upstreamsSpread is the random time that is added, so that one daemon reads
	// and the others hear of it.
	upstreamsJitter = 300 * time.Millisecond
	// callSlack is added to the wait that the store was asked for.
	callTimeout = 1500 * time.Millisecond
	// outageAfter is the time without a successful read after which removals
	// are doubted: entries lapse while their owners can't reach the store.
	outageThreshold = 1500 * time.Millisecond
)

// topicReader follows one topic of the store: the newest entries first, then
// each change, and the newest again if the store has dropped records since.
type topicReader struct {
	store Store
	topic Topic
	name  string
	// every is the least time between reads, wait how long one may wait.
	interval, longPoll time.Duration
	// rests reports whether it will do to look now and then, since others tell of what is
	// new; nil is no.
	peersNotify func() bool
	// backoff is shared by all that call the store.
	backoff *backoff
	// reset takes the newest entries, apply a change.
	applyAll     func([]Entry)
	applyChanges func([]Entry)
	// resetCopy takes the newest entries of a store that has come back from an older copy;
	// nil is reset.
	applyRestored func([]Entry)
	// spread is the random time beyond every by which a read waits while another
	// daemon's reading is as good; 0 reads always.
	jitter time.Duration
	// first reports whether this daemon is to read before all others; nil is no.
	readsFirst func() bool
	log        *slog.Logger

	mu sync.Mutex
	// from is the position to read on from, known says that there is one.
	next       Position
	positioned bool
	readAt     time.Time
	down       bool
	// hurried says that the next read isn't to wait.
	expedited bool
	// breakOff ends the read that is waiting.
	cancelRead context.CancelFunc
	// returned is called when the store is regained.
	onRecovered func()
}

// String names the service for the supervisor.
func (r *topicReader) String() string { return "feed of " + r.name }

// age returns the time since the last successful read.
func (r *topicReader) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readAt.IsZero() {
		return time.Hour
	}
	return time.Since(r.readAt)
}

// Serve implements suture.Service.
func (r *topicReader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if delay := r.delay(); delay > 0 {
			r.pause(ctx, delay)
			continue
		}
		r.backoff.await(ctx)
		start := time.Now()
		err := r.read(ctx)
		switch {
		case err == nil:
			r.backoff.recordSuccess()
		case errors.Is(err, ErrExpired):
			r.backoff.recordSuccess()
			r.mu.Lock()
			r.positioned = false
			r.mu.Unlock()
		case errors.Is(err, context.Canceled) && ctx.Err() == nil:
			// Broken off by restart: the next read begins at once.
		default:
			r.recordFailure(ctx, err)
			r.backoff.recordFailure(start, time.Now())
		}
	}
	return ctx.Err()
}

// hold returns how long the next read has to wait. The draw of spread lets one
// daemon read for all that hear of it.
func (r *topicReader) delay() time.Duration {
	if r.takeExpedited() {
		return 0
	}
	wait := r.interval
	if r.pollsRarely() {
		wait = rarePollInterval
	}
	if r.jitter > 0 && (r.readsFirst == nil || !r.readsFirst()) {
		wait += r.jitter/2 + rand.N(r.jitter)
	}
	return wait - r.age()
}

// restingEvery is how often a reader looks that others tell of what is new.
const rarePollInterval = longPollTimeout

func (r *topicReader) pollsRarely() bool { return r.peersNotify != nil && r.peersNotify() }

// waits returns how long the next read may wait: not at all if nothing says yet that the
// store answers again, so that it is known.
func (r *topicReader) longPollWait() time.Duration {
	if r.isDown() || r.pollsRarely() {
		return 0
	}
	return r.longPoll
}

// restPiece is how soon a reader that rests notices that it is to hurry.
const wakeInterval = 50 * time.Millisecond

// rest sleeps for a time, or until the reader is to hurry.
func (r *topicReader) pause(ctx context.Context, d time.Duration) {
	for until := time.Now().Add(d); ctx.Err() == nil; {
		left := time.Until(until)
		if left <= 0 || r.isExpedited() {
			return
		}
		sleep(ctx, min(left, wakeInterval))
	}
}

// hurry makes the next read begin soon: something has changed.
func (r *topicReader) expedite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expedited = true
}

func (r *topicReader) isExpedited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expedited
}

func (r *topicReader) takeExpedited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	expedited := r.expedited
	r.expedited = false
	return expedited
}

// isDown reports whether the last read failed.
func (r *topicReader) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (r *topicReader) read(ctx context.Context) error {
	wait := r.longPollWait()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	r.mu.Lock()
	from, known := r.next, r.positioned
	r.cancelRead = cancel
	r.mu.Unlock()
	start := time.Now()
	if !known {
		entries, next, err := r.store.Newest(ctx, r.topic)
		if err != nil {
			return err
		}
		r.applyNewest(entries, next)
		r.recordRead(next, start)
		return nil
	}
	entries, next, err := r.store.Changes(ctx, r.topic, from, wait)
	if err != nil {
		return err
	}
	if len(entries) > 0 {
		r.applyChanges(entries)
	}
	if wait > 0 {
		start = time.Now() // the answer is of the moment of its end
	}
	r.recordRead(next, start)
	return nil
}

func (r *topicReader) applyNewest(entries []Entry, next Position) {
	if r.applyRestored != nil && r.isNewerEra(next) {
		r.applyRestored(entries)
		return
	}
	r.applyAll(entries)
}

// isLater reports whether a position is of a later era than what was read.
func (r *topicReader) isNewerEra(at Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.readAt.IsZero() && at.Era() > r.next.Era()
}

// heard takes over that the state as of a position is known as of a time ago, as
// another daemon has read the same.
func (r *topicReader) adopt(at Position, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.positioned = true
	r.next = max(r.next, at)
	if readAt := time.Now().Add(-age); readAt.After(r.readAt) {
		r.readAt = readAt
	}
}

func (r *topicReader) position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

func (r *topicReader) recordRead(next Position, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next, r.positioned = next, true
	r.readAt = at
	if r.down {
		r.down = false
		r.log.Info("store regained", "topic", r.name)
		if r.onRecovered != nil {
			r.onRecovered()
		}
	}
}

// restart breaks a waiting read off. Its connection may have fallen silent while
// the store was out of reach, and would tell of no change until its time is over.
func (r *topicReader) restartRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longPoll > 0 && r.cancelRead != nil {
		r.cancelRead()
	}
}

func (r *topicReader) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		r.down = true
		r.log.Warn("store lost", "topic", r.name, "err", err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
