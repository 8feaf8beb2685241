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
	longWait = 20 * time.Second
	// upstreamsEvery is the least time between two reads of the upstreams'
	// entries. Each of them is written about once a second, so a waiting read
	// returns at once; a change must be known well within a leaving upstream's
	// last two seconds.
	upstreamsEvery = 450 * time.Millisecond
	// upstreamsSpread is the random time that is added, so that one daemon reads
	// and the others hear of it.
	upstreamsSpread = 300 * time.Millisecond
	// callSlack is added to the wait that the store was asked for.
	callSlack = 1500 * time.Millisecond
	// outageAfter is the time without a successful read after which removals
	// are doubted: entries lapse while their owners can't reach the store.
	outageAfter = 1500 * time.Millisecond
)

// topicReader follows one topic of the store: the newest entries first, then
// each change, and the newest again if the store has dropped records since.
type topicReader struct {
	store Store
	topic Topic
	name  string
	// every is the least time between reads, wait how long one may wait.
	every, wait time.Duration
	// rests reports whether it will do to look now and then, since others tell of what is
	// new; nil is no.
	rests func() bool
	// backoff is shared by all that call the store.
	backoff *backoff
	// reset takes the newest entries, apply a change.
	reset func([]Entry)
	apply func([]Entry)
	// resetCopy takes the newest entries of a store that has come back from an older copy;
	// nil is reset.
	resetCopy func([]Entry)
	// spread is the random time beyond every by which a read waits while another
	// daemon's reading is as good; 0 reads always.
	spread time.Duration
	// first reports whether this daemon is to read before all others; nil is no.
	first func() bool
	log   *slog.Logger

	mu sync.Mutex
	// from is the position to read on from, known says that there is one.
	from   Position
	known  bool
	readAt time.Time
	down   bool
	// hurried says that the next read isn't to wait.
	hurried bool
	// breakOff ends the read that is waiting.
	breakOff context.CancelFunc
	// returned is called when the store is regained.
	returned func()
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
		if hold := r.hold(); hold > 0 {
			r.rest(ctx, hold)
			continue
		}
		r.backoff.await(ctx)
		began := time.Now()
		err := r.read(ctx)
		switch {
		case err == nil:
			r.backoff.succeeded()
		case errors.Is(err, ErrExpired):
			r.backoff.succeeded()
			r.mu.Lock()
			r.known = false
			r.mu.Unlock()
		case errors.Is(err, context.Canceled) && ctx.Err() == nil:
			// Broken off by restart: the next read begins at once.
		default:
			r.lost(ctx, err)
			r.backoff.failed(began, time.Now())
		}
	}
	return ctx.Err()
}

// hold returns how long the next read has to wait. The draw of spread lets one
// daemon read for all that hear of it.
func (r *topicReader) hold() time.Duration {
	if r.takeHurry() {
		return 0
	}
	wait := r.every
	if r.resting() {
		wait = restingEvery
	}
	if r.spread > 0 && (r.first == nil || !r.first()) {
		wait += r.spread/2 + rand.N(r.spread)
	}
	return wait - r.age()
}

// restingEvery is how often a reader looks that others tell of what is new.
const restingEvery = longWait

func (r *topicReader) resting() bool { return r.rests != nil && r.rests() }

// waits returns how long the next read may wait: not at all if nothing says yet that the
// store answers again, so that it is known.
func (r *topicReader) waits() time.Duration {
	if r.isDown() || r.resting() {
		return 0
	}
	return r.wait
}

// restPiece is how soon a reader that rests notices that it is to hurry.
const restPiece = 50 * time.Millisecond

// rest sleeps for a time, or until the reader is to hurry.
func (r *topicReader) rest(ctx context.Context, d time.Duration) {
	for until := time.Now().Add(d); ctx.Err() == nil; {
		left := time.Until(until)
		if left <= 0 || r.isHurried() {
			return
		}
		sleep(ctx, min(left, restPiece))
	}
}

// hurry makes the next read begin soon: something has changed.
func (r *topicReader) hurry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hurried = true
}

func (r *topicReader) isHurried() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hurried
}

func (r *topicReader) takeHurry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hurried := r.hurried
	r.hurried = false
	return hurried
}

// isDown reports whether the last read failed.
func (r *topicReader) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (r *topicReader) read(ctx context.Context) error {
	wait := r.waits()
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	r.mu.Lock()
	from, known := r.from, r.known
	r.breakOff = cancel
	r.mu.Unlock()
	began := time.Now()
	if !known {
		entries, next, err := r.store.Newest(ctx, r.topic)
		if err != nil {
			return err
		}
		r.takeNewest(entries, next)
		r.done(next, began)
		return nil
	}
	entries, next, err := r.store.Changes(ctx, r.topic, from, wait)
	if err != nil {
		return err
	}
	if len(entries) > 0 {
		r.apply(entries)
	}
	if wait > 0 {
		began = time.Now() // the answer is of the moment of its end
	}
	r.done(next, began)
	return nil
}

func (r *topicReader) takeNewest(entries []Entry, next Position) {
	if r.resetCopy != nil && r.isLater(next) {
		r.resetCopy(entries)
		return
	}
	r.reset(entries)
}

// isLater reports whether a position is of a later era than what was read.
func (r *topicReader) isLater(at Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.readAt.IsZero() && at.Era() > r.from.Era()
}

// heard takes over that the state as of a position is known as of a time ago, as
// another daemon has read the same.
func (r *topicReader) heard(at Position, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = true
	r.from = max(r.from, at)
	if readAt := time.Now().Add(-age); readAt.After(r.readAt) {
		r.readAt = readAt
	}
}

func (r *topicReader) position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from
}

func (r *topicReader) done(next Position, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.known = next, true
	r.readAt = at
	if r.down {
		r.down = false
		r.log.Info("store regained", "topic", r.name)
		if r.returned != nil {
			r.returned()
		}
	}
}

// restart breaks a waiting read off. Its connection may have fallen silent while
// the store was out of reach, and would tell of no change until its time is over.
func (r *topicReader) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wait > 0 && r.breakOff != nil {
		r.breakOff()
	}
}

func (r *topicReader) lost(ctx context.Context, err error) {
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
