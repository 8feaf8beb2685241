package member

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tamarackchute/internal/boottime"
	"tamarackchute/internal/transfer"
)

const (
	// longPollTimeout limits how long the store may hold a read open for a change.
	longPollTimeout = 20 * time.Second
	// upstreamsInterval is the minimum time between two reads of the upstreams' entries. Each
	// entry is written about once a second, so a long poll would return at once; a change must
	// be known well within the last two seconds of a draining upstream.
	upstreamsInterval = 450 * time.Millisecond
	// upstreamsJitter is the mean of the random delay added, so that one daemon reads and the
	// others learn the result from it.
	upstreamsJitter = 300 * time.Millisecond
	// CallTimeout limits the time in which a call to the store makes no progress, in addition to the
	// requested wait.
	CallTimeout = 1500 * time.Millisecond
	// ReadTimeout limits a read that makes progress: after that, what it brings would be outdated.
	ReadTimeout = 20 * time.Second
	// outageThreshold is the time without a successful read after which removals aren't trusted:
	// entries lapse while their owners can't reach the store.
	outageThreshold = 1500 * time.Millisecond
)

// topicReader follows a topic of the store: it reads the newest entries first, then each change,
// and the newest entries again if the store has deleted records since.
type topicReader struct {
	store Store
	topic Topic
	name  string
	// interval is the minimum time between reads, longPoll how long one may wait for a change.
	interval, longPoll time.Duration
	// triggered reports whether others trigger all reads that are needed, so that occasional
	// polling suffices; nil means no.
	triggered func() bool
	// onRead is called after each read that shows that nothing newer existed when it was sent, with
	// that time, by the clock of package boottime; nil does nothing.
	onRead func(sentAt time.Duration)
	// onFetch is called after each read that brought entries, or that failed after some bytes had arrived;
	// nil does nothing.
	onFetch func(p transfer.Progress, err error)
	// backoff is shared by all services that retry failed calls to the store.
	backoff *backoff
	// applyAll processes the newest entries, applyChanges the changes since.
	applyAll     func([]Entry)
	applyChanges func([]Entry)
	// applyRestored processes the newest entries of a store that was restored from an older copy
	// since the last read, or at any time before the first one; nil means applyAll.
	applyRestored func([]Entry)
	// jitter is the mean of the random delay added to interval, during which a peer's read may
	// replace this one; 0 for none.
	jitter time.Duration
	// readsFirst reports whether this daemon reads without the jitter; nil means no.
	readsFirst func() bool
	log        *slog.Logger

	// applying is held while a reading, whether of the store or of a peer, is processed together
	// with its position. Otherwise an older one might replace what a newer one has brought.
	applying sync.Mutex

	mu sync.Mutex
	// next is the position of the next read, positioned is set if there is one.
	next       Position
	positioned bool
	readAt     time.Time
	// ownReadAt is when the last read of this daemon began that brought all there was; readAt may be by a peer's
	// word, whose age on arrival nobody knows.
	ownReadAt time.Time
	down      bool
	// recoveredAt is when a read first succeeded after an outage.
	recoveredAt time.Time
	// expedited means that the next read must not be delayed.
	expedited bool
	// confirming is the number of reads by confirm in progress, transfers are those of all reads.
	confirming int
	// shared is the last read that all who wait share.
	shared    shared
	transfers []*transfer.Transfer
	// reading is the read by Serve, which may wait for a change; nil before the first one.
	reading *transfer.Transfer
	// onRecovered is called when the store is reachable again.
	onRecovered func()
}

// String implements fmt.Stringer; the supervisor logs it.
func (r *topicReader) String() string { return "feed of " + r.name }

// age returns the time since the last successful read; an hour if there was none.
func (r *topicReader) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readAt.IsZero() {
		return time.Hour
	}
	return time.Since(r.readAt)
}

// hasReadSince reports whether a successful read has begun since a time.
func (r *topicReader) hasReadSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAt.After(t)
}

// hasRead reports whether there was a successful read.
func (r *topicReader) hasRead() bool { return r.hasReadSince(time.Time{}) }

// recoveredTime returns when a read first succeeded after the last outage; zero if there was none.
func (r *topicReader) recoveredTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recoveredAt
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
			r.backoff.recordSuccess(time.Now())
		case errors.Is(err, ErrExpired):
			r.backoff.recordSuccess(time.Now())
			r.mu.Lock()
			r.positioned = false
			r.mu.Unlock()
		case errors.Is(err, context.Canceled) && ctx.Err() == nil:
			// Cancelled by restartRead: the next read starts at once.
		default:
			r.recordFailure(ctx, err)
			r.backoff.recordFailure(start, time.Now())
		}
	}
	return ctx.Err()
}

// delay returns how long to wait before the next read. Its jitter lets one daemon read for all
// that receive its updates.
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

// rarePollInterval is the interval of reads while others trigger those that are needed.
const rarePollInterval = longPollTimeout

func (r *topicReader) pollsRarely() bool { return r.triggered != nil && r.triggered() }

// longPollWait returns how long the next read may wait for a change. After a failure it is 0, so
// that the recovery of the store is noticed at once; also while others trigger the reads.
func (r *topicReader) longPollWait() time.Duration {
	if r.isDown() || r.pollsRarely() {
		return 0
	}
	return r.longPoll
}

// wakeInterval is how often a waiting reader checks whether it is expedited, or, after a failure,
// whether it may call the store.
const wakeInterval = 50 * time.Millisecond

// pause sleeps for a time, or until the reader is expedited.
func (r *topicReader) pause(ctx context.Context, d time.Duration) {
	for until := time.Now().Add(d); ctx.Err() == nil; {
		left := time.Until(until)
		if left <= 0 || r.isExpedited() {
			return
		}
		sleep(ctx, min(left, wakeInterval))
	}
}

// expedite makes the next read start soon, as something has changed.
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
	r.mu.Lock()
	from, known := r.next, r.positioned
	r.mu.Unlock()
	wait := r.longPollWait()
	limits := changesLimits(wait)
	if !known {
		limits = transfer.Limits{} // each of its calls has limits
	}
	ctx, received := r.beginTransfer(ctx, limits)
	defer r.endTransfer(received)
	r.mu.Lock()
	r.reading = received
	r.mu.Unlock()
	start, sentAt := time.Now(), boottime.Now()
	if !known {
		entries, next, err := r.store.Newest(ctx, r.topic)
		r.noteFetch(received, len(entries), err)
		if err != nil {
			return err
		}
		r.applying.Lock()
		defer r.applying.Unlock()
		r.applyNewest(entries, from, next)
		r.recordRead(next, start)
		r.recordWhole(start)
		r.notifyRead(sentAt)
		return nil
	}
	entries, next, err := r.store.Changes(ctx, r.topic, from, wait)
	r.noteFetch(received, len(entries), err)
	if err != nil {
		return received.Error(err)
	}
	r.applying.Lock()
	defer r.applying.Unlock()
	if len(entries) > 0 {
		r.applyChanges(entries)
	}
	if wait > 0 {
		start = time.Now() // a long poll's answer is current when it ends
	}
	r.recordRead(next, start)
	if !received.Progress().Partial {
		r.recordWhole(start)
	}
	if len(entries) == 0 { // a read with entries may have been cut off at its size limit
		r.notifyRead(sentAt)
	}
	return nil
}

// changesLimits returns the limits of a read of changes that may wait for one for a time.
func changesLimits(wait time.Duration) transfer.Limits {
	return transfer.Limits{First: wait + CallTimeout, Idle: CallTimeout, Total: wait + ReadTimeout}
}

// beginTransfer begins to measure and limit a read.
func (r *topicReader) beginTransfer(ctx context.Context, l transfer.Limits) (context.Context, *transfer.Transfer) {
	ctx, received := transfer.Begin(ctx, l)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.transfers = append(r.transfers, received)
	return ctx, received
}

func (r *topicReader) endTransfer(received *transfer.Transfer) {
	received.End()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.transfers = slices.DeleteFunc(r.transfers, func(t *transfer.Transfer) bool { return t == received })
}

// received returns how far the read in progress has come that has received most.
func (r *topicReader) received() transfer.Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	var most transfer.Progress
	for _, t := range r.transfers {
		if p := t.Progress(); p.Bytes > most.Bytes {
			most = p
		}
	}
	return most
}

// receiving reports whether a read has begun to receive its response and goes on.
func (r *topicReader) receiving() bool { return r.received().Bytes > 0 }

// noteFetch passes on what a read has received.
func (r *topicReader) noteFetch(received *transfer.Transfer, entries int, err error) {
	p := received.Progress()
	if r.onFetch != nil && (entries > 0 || err != nil && p.Bytes > 0) {
		r.onFetch(p, received.Error(err))
	}
}

func (r *topicReader) notifyRead(sentAt time.Duration) {
	if r.onRead != nil {
		r.onRead(sentAt)
	}
}

// applyNewest processes the newest entries. from is the position before they were requested: a
// peer's may have been adopted since.
func (r *topicReader) applyNewest(entries []Entry, from, next Position) {
	if r.applyRestored != nil && next.Era() > from.Era() {
		r.applyRestored(entries)
		return
	}
	r.applyAll(entries)
}

// adopt records that the topic up to a position, as a peer read it some time ago, is known here.
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
	if r.down && time.Since(r.readAt) > outageThreshold {
		r.recoveredAt = time.Now()
	}
	r.next, r.positioned = next, true
	r.readAt = at
	if r.down {
		r.down = false
		r.log.Info("store reachable again", "topic", r.name)
		if r.onRecovered != nil {
			r.onRecovered()
		}
	}
}

// restartRead cancels a long poll. Its connection may have failed silently during an outage, and
// would report no change until it times out. One that is receiving its response goes on.
func (r *topicReader) restartRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longPoll > 0 && r.reading != nil && r.reading.Progress().Bytes == 0 {
		r.reading.End()
	}
}

// recordWhole records that a read that began at a time has brought all there was.
func (r *topicReader) recordWhole(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownReadAt = at
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

// ownRead returns when the last successful read of this daemon began; zero if there was none.
func (r *topicReader) ownRead() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownReadAt
}
