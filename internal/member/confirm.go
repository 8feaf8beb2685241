package member

import (
	"context"
	"errors"
	"time"

	"tamarackchute/internal/boottime"
)

// maxConfirming limits the concurrent reads by confirm: one whose connection has failed silently takes
// until its timeout.
const maxConfirming = 3

// confirm reads without waiting for a change, beside a long poll that may never return. If the long
// poll has missed a change or the read fails, the long poll is restarted.
func (r *topicReader) confirm(ctx context.Context) {
	from, ok := r.beginConfirm()
	if !ok {
		return
	}
	defer r.endConfirm()
	if r.backoff.reserve(time.Now()) > 0 {
		return
	}
	start, sentAt := time.Now(), boottime.Now()
	call, received := r.beginTransfer(ctx, changesLimits(0))
	defer r.endTransfer(received)
	entries, next, err := r.store.Changes(call, r.topic, from, 0)
	r.noteFetch(received, len(entries), err)
	if err != nil {
		r.confirmFailed(ctx, start, received.Error(err))
		return
	}
	r.backoff.recordSuccess(time.Now())
	r.applying.Lock()
	defer r.applying.Unlock()
	if r.position() != from {
		return // another read has brought more
	}
	if len(entries) > 0 {
		r.applyChanges(entries)
	}
	if len(entries) > 0 && r.longPoll > 0 {
		r.log.Info("change not brought by the waiting read", "topic", r.name, "entries", len(entries))
		r.restartRead()
	}
	r.recordRead(next, start)
	if !received.Progress().Partial {
		r.recordWhole(start)
	}
	if len(entries) == 0 {
		r.notifyRead(sentAt)
	}
}

// beginConfirm returns the position to read from, or false if no read by confirm may begin. While a read
// is receiving a change, another one would only receive the same bytes.
func (r *topicReader) beginConfirm() (Position, bool) {
	if r.receiving() {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.positioned {
		r.expedited = true // the newest entries have to be read first, by Serve
	}
	if !r.positioned || r.confirming >= maxConfirming {
		return 0, false
	}
	r.confirming++
	return r.next, true
}

func (r *topicReader) endConfirm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirming--
}

// confirmFailed processes the failure of a read by confirm that was begun at a time.
func (r *topicReader) confirmFailed(ctx context.Context, start time.Time, err error) {
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, ErrExpired):
		r.backoff.recordSuccess(time.Now())
		r.mu.Lock()
		r.positioned = false
		r.mu.Unlock()
	case r.hasReadSince(start):
		return // only this read's connection has failed
	default:
		r.recordFailure(ctx, err)
		r.backoff.recordFailure(start, time.Now())
	}
	r.restartRead()
	r.expedite()
}

const (
	// confirmInterval is the minimum time between two reads for those that wait, at a site of up to
	// baselineDaemons. It grows with the site, up to maxConfirmInterval.
	confirmInterval, maxConfirmInterval = 20 * time.Millisecond, 300 * time.Millisecond
	// confirmPatience is the time after which a read without an answer doesn't keep another one from beginning:
	// its connection may have failed silently.
	confirmPatience = 100 * time.Millisecond
)

// awaitReadSince waits until a read that began after a time has succeeded, and reads for that. Those who
// wait at the same time share the reads. It returns false if ctx ends before.
func (r *topicReader) awaitReadSince(ctx context.Context, t time.Time) bool {
	for !r.hasOwnReadSince(t) && ctx.Err() == nil {
		ended, next := r.sharedConfirm(time.Now())
		pause := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-ended:
		case <-pause.C:
		}
		pause.Stop()
		if isClosed(ended) && !r.hasOwnReadSince(t) {
			sleep(ctx, next)
		}
	}
	return r.hasOwnReadSince(t)
}

// hasOwnReadSince reports whether a successful read of this daemon has begun since a time.
func (r *topicReader) hasOwnReadSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownReadAt.After(t)
}

// shared is a read that all who wait share.
type shared struct {
	began time.Time
	ended chan struct{}
}

// sharedConfirm begins to confirm if that is due. It returns what is closed at the end of the last read, and
// the time until the next one may begin.
func (r *topicReader) sharedConfirm(now time.Time) (ended <-chan struct{}, next time.Duration) {
	interval := min(maxConfirmInterval, confirmInterval*time.Duration(max(baselineDaemons, r.backoff.store.daemons()))/baselineDaemons)
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := confirmPatience
	if isClosed(r.shared.ended) {
		wait = interval
	}
	if r.shared.ended != nil && now.Sub(r.shared.began) < max(wait, interval) {
		return r.shared.ended, max(wait, interval) - now.Sub(r.shared.began)
	}
	begun := shared{now, make(chan struct{})}
	r.shared = begun
	go func() {
		defer close(begun.ended)
		r.confirm(context.Background())
	}()
	return begun.ended, max(confirmPatience, interval)
}
