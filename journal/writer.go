package journal

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/infra"
)

// settleWait is how long an append of unknown outcome waits for the own
// reader to show its record, before the entries are sent once more.
const settleWait = 250 * time.Millisecond

// maxBackoffDoublings keeps the growing wait after failed appends in range.
const maxBackoffDoublings = 8

// write sends the queued entries, several to an append, until ctx ends.
func (j *Journal) write(ctx context.Context) {
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

// awaitEntries waits until the oldest queued entry has lingered for its time
// or a whole record is queued. It returns false when ctx ends.
func (j *Journal) awaitEntries(ctx context.Context) bool {
	for {
		wait, queued := j.lingerLeft()
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

func (j *Journal) lingerLeft() (wait time.Duration, queued bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.queue.waiting) == 0 {
		return 0, false
	}
	full := len(j.queue.waiting) >= j.cfg.MaxBatchEntries || j.queue.waitingBytes >= j.cfg.MaxBatchBytes
	if full {
		return 0, true
	}
	return j.cfg.Linger - time.Since(j.queue.waiting[0].since), true
}

// batch is the content of one append.
type batch struct {
	pendings []*pending
	// before tells which of them might have been written earlier.
	before []bool
	data   []byte
}

// takeBatch takes the next entries, or returns nil. It marks them as perhaps
// written under the same lock, before any byte goes out: an Append that gives
// up in between must not call its entry unsent.
func (j *Journal) takeBatch() *batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := &batch{pendings: j.queue.next(j.cfg.MaxBatchBytes, j.cfg.MaxBatchEntries)}
	if len(b.pendings) == 0 {
		return nil
	}
	entries := make([]Entry, len(b.pendings))
	for i, p := range b.pendings {
		entries[i] = p.entry
		b.before = append(b.before, p.maybeWritten)
		p.maybeWritten = true
	}
	data, err := EncodeRecord(j.cfg.Writer, entries)
	if err != nil {
		panic(err) // strings and byte slices always encode
	}
	b.data = data
	return b
}

// send does one append and deals with its outcome.
func (j *Journal) send(ctx context.Context, b *batch) {
	actx, cancel := context.WithTimeout(ctx, j.cfg.AppendTimeout)
	_, err := j.log.Append(actx, b.data)
	cancel()
	if err == nil {
		j.confirmed(len(b.pendings))
		return
	}
	// After a lost reply the record may be there. The own reader then settles
	// the entries; sending them again is harmless, as an ID counts once.
	sleep(ctx, j.failed(b, errors.Is(err, infra.ErrNotWritten)))
	j.mu.Lock()
	j.queue.giveBack(b.pendings)
	j.mu.Unlock()
}

// failed notes a failed append and returns how long to wait before its
// entries are queued again. If the log has said that the record will never be
// there, the mark of takeBatch is taken back.
func (j *Journal) failed(b *batch, notWritten bool) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.FailedAppends++
	j.failedInRow++
	wait := min(minBackoff<<min(j.failedInRow-1, maxBackoffDoublings), maxBackoff)
	if !notWritten {
		return max(wait, settleWait)
	}
	for i, p := range b.pendings {
		p.maybeWritten = b.before[i]
	}
	return wait
}

func (j *Journal) confirmed(entries int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failedInRow = 0
	j.stats.Appends++
	j.stats.Entries += int64(entries)
	j.health.LastContact = time.Now()
}
