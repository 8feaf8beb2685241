package journal

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/infra"
)

// unknownOutcomeDelay is how long an append with an unknown outcome waits for
// the local reader to find its record before the entries are sent again.
const unknownOutcomeDelay = 250 * time.Millisecond

// confirmedReadTime is how long after the confirmation of an append a waiting read should have
// returned its record.
const confirmedReadTime = 200 * time.Millisecond

// maxBackoffDoublings keeps the exponential backoff of appends from overflowing.
const maxBackoffDoublings = 8

// runWriter appends the queued entries in batches until ctx ends.
func (j *Journal) runWriter(ctx context.Context) {
	slots := make(chan struct{}, j.cfg.MaxInFlight)
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		if !j.awaitEntries(ctx) || !acquire(ctx, slots) {
			return
		}
		if j.limiter.Wait(ctx) != nil {
			return
		}
		b := j.takeBatch()
		if b == nil {
			<-slots
			continue
		}
		wg.Go(func() {
			defer j.wakeWriter()
			defer func() { <-slots }()
			j.send(ctx, b)
		})
	}
}

// acquire takes a slot for an append; it returns false if ctx ends first.
func acquire(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (j *Journal) wakeWriter() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// awaitEntries waits until the oldest queued entry has waited for Linger or a
// full record is queued. It returns false when ctx ends.
func (j *Journal) awaitEntries(ctx context.Context) bool {
	for {
		wait, queued := j.lingerRemaining()
		if queued && wait <= 0 {
			return true
		}
		var linger <-chan time.Time
		var timer *time.Timer
		if queued {
			timer = time.NewTimer(wait)
			linger = timer.C
		}
		select {
		case <-ctx.Done():
		case <-j.wake:
		case <-linger:
		}
		if timer != nil {
			timer.Stop()
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// lingerRemaining returns how long the oldest queued entry still waits for others
// to share its append, and whether any entry is queued.
func (j *Journal) lingerRemaining() (wait time.Duration, queued bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.queue.waiting) == 0 {
		return 0, false
	}
	full := len(j.queue.waiting) >= j.cfg.MaxBatchEntries || j.queue.waitingBytes >= j.cfg.MaxBatchBytes
	if full {
		return 0, true
	}
	return j.cfg.Linger - time.Since(j.queue.waiting[0].queuedAt), true
}

// batch holds the entries of one append.
type batch struct {
	pendings []*pending
	// wasMaybeWritten holds the entries' maybeWritten before this append.
	wasMaybeWritten []bool
	data            []byte
}

// takeBatch dequeues the entries of the next append, or returns nil. It sets
// maybeWritten under the same lock, before any byte is sent, so that an Append
// cancelled in between doesn't report its entry as never sent.
func (j *Journal) takeBatch() *batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := &batch{pendings: j.queue.dequeue(j.cfg.MaxBatchBytes, j.cfg.MaxBatchEntries)}
	if len(b.pendings) == 0 {
		return nil
	}
	entries := make([]Entry, len(b.pendings))
	for i, p := range b.pendings {
		entries[i] = p.entry
		b.wasMaybeWritten = append(b.wasMaybeWritten, p.maybeWritten)
		p.maybeWritten = true
	}
	data, err := EncodeRecord(j.cfg.Writer, entries)
	if err != nil {
		panic(err) // strings and byte slices always encode
	}
	b.data = data
	return b
}

// send performs one append and handles its outcome.
func (j *Journal) send(ctx context.Context, b *batch) {
	actx, cancel := context.WithTimeout(ctx, j.cfg.AppendTimeout)
	offset, err := j.log.Append(actx, b.data)
	cancel()
	if err == nil {
		j.appendConfirmed(len(b.pendings))
		time.AfterFunc(confirmedReadTime, func() { j.restartHungRead(offset) })
		return
	}
	// After a lost reply the record may be in the log. The local reader then
	// completes the entries; sending them again is harmless, since readers skip
	// duplicate IDs.
	sleep(ctx, j.appendFailed(b, errors.Is(err, infra.ErrNotWritten)))
	j.mu.Lock()
	j.queue.requeue(b.pendings)
	j.mu.Unlock()
}

// appendFailed records a failed append and returns how long to wait before its
// entries are queued again. If the log reported that the record will never be
// written, it restores maybeWritten as it was before takeBatch.
func (j *Journal) appendFailed(b *batch, notWritten bool) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.FailedAppends++
	j.consecutiveFailures++
	wait := min(minBackoff<<min(j.consecutiveFailures-1, maxBackoffDoublings), maxBackoff)
	if !notWritten {
		return max(wait, unknownOutcomeDelay)
	}
	for i, p := range b.pendings {
		p.maybeWritten = b.wasMaybeWritten[i]
	}
	return wait
}

func (j *Journal) appendConfirmed(entries int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.consecutiveFailures = 0
	j.stats.Appends++
	j.stats.Entries += int64(entries)
	j.health.LastContact = time.Now()
}
