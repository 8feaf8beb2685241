package journal

import (
	"context"
	"errors"
	"time"

	"tamarackchute/infra"
	"tamarackchute/internal/boottime"
)

// maxReadRecords is the maximum number of records requested per read.
const maxReadRecords = 512

// The bounds of the backoff after failed calls of the log.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// runReader applies the log's records in order until ctx ends.
func (j *Journal) runReader(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if j.readOnce(ctx) {
			backoff = minBackoff
			continue
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce performs one read and reports whether it succeeded.
func (j *Journal) readOnce(ctx context.Context) bool {
	rctx, cancel := context.WithTimeout(ctx, 2*j.cfg.LongPoll)
	defer cancel()
	from, wait := j.beginRead(cancel)
	sentAt := boottime.Now()
	res, err := j.log.Read(rctx, from, maxReadRecords, wait)
	readAt := time.Now()

	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) && trimmed.Oldest > from {
		j.markUp(readAt)
		j.noteLateStart(from, trimmed.Oldest)
		j.skipTrimmed(trimmed.Oldest)
		return true
	}
	var restored *infra.RestoredError
	if errors.As(err, &restored) {
		j.markUp(readAt)
		j.handleRestore(restored.Oldest)
		return true
	}
	if err != nil && j.wasHung() {
		return true // the next read doesn't wait
	}
	if err != nil {
		j.markDown(ctx, err)
		return false
	}
	j.markUp(readAt)
	if j.noteLateStart(from, res.Oldest) {
		j.resumeAt(res.Oldest)
	}
	for _, r := range res.Records {
		j.applyRecord(r, readAt)
	}
	if j.cfg.OnRead != nil && j.hasRead(res.Next) {
		j.cfg.OnRead(sentAt)
	}
	return j.checkProgress(ctx, res)
}

// hasRead reports whether all records before an offset have been read.
func (j *Journal) hasRead(end infra.Offset) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.next >= end
}

// beginRead returns the next offset to read, and how long the read may wait for a record. cancel
// cancels it. The first read must not wait: CaughtUp needs the log's current end. Nor must one that
// replaces a hung one.
func (j *Journal) beginRead(cancel context.CancelFunc) (from infra.Offset, wait time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.target != 0 && !j.readHung {
		wait = j.cfg.LongPoll
	}
	j.readHung, j.cancelRead = false, nil
	if wait > 0 {
		j.cancelRead = cancel
	}
	return j.next, wait
}

// restartHungRead cancels a waiting read that should have returned the record at an offset by now: its
// connection may have failed silently.
func (j *Journal) restartHungRead(offset infra.Offset) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.next > offset || j.cancelRead == nil {
		return
	}
	j.cfg.Logger.Warn("waiting read of the log doesn't return", "confirmed", offset, "read_up_to", j.next)
	j.readHung = true
	j.cancelRead()
	j.cancelRead = nil
}

// wasHung reports whether the last read was cancelled as hung.
func (j *Journal) wasHung() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readHung
}

// checkProgress closes CaughtUp once the reader has reached the initial end of
// the log. It returns false if the log ends before records that were already
// read: it has lost records, and reading on without a backoff would busy-loop.
func (j *Journal) checkProgress(ctx context.Context, res infra.ReadResult) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.target == 0 {
		j.target = max(res.Next, 1)
	}
	if j.next >= j.target {
		closeOnce(j.caughtUp)
	}
	if res.Next < j.next && len(res.Records) == 0 {
		j.cfg.Logger.ErrorContext(ctx, "the log ends before records that were already read",
			"end", res.Next, "read_up_to", j.next)
		return false
	}
	return true
}

// applyRecord applies a record's entries to their state machines.
func (j *Journal) applyRecord(r infra.Record, readAt time.Time) {
	entries, err := DecodeRecord(r.Data)
	var applied, duplicates, corrupt int64
	if err != nil {
		corrupt = 1
		j.cfg.Logger.Warn("skipped a log record that can't be decoded", "offset", r.Offset, "err", err)
	}
	for i, e := range entries {
		if !j.dedupe.addIfNew(e.ID, r.At) {
			duplicates++
			continue
		}
		applied++
		sm, ok := j.stateMachines[e.Kind]
		if !ok {
			continue
		}
		at := Position{Offset: r.Offset, Index: uint16(i)}
		sm.Apply(LogEntry{Position: at, At: r.At, ReadAt: readAt, Entry: e})
	}

	j.mu.Lock()
	defer j.mu.Unlock()
	j.next = r.Offset + 1
	j.applied = Position{Offset: r.Offset, Index: uint16(max(len(entries)-1, 0))}
	j.stats.Applied += applied
	j.stats.Duplicates += duplicates
	j.stats.Corrupt += corrupt
	for i, e := range entries {
		j.queue.applied(e.ID, Position{Offset: r.Offset, Index: uint16(i)})
	}
}

// noteLateStart tells the state machines if a read from an offset is the first one, and finds a log
// that was restored before. It reports whether that is so.
func (j *Journal) noteLateStart(from, oldest infra.Offset) bool {
	if from.Era() == oldest.Era() {
		return false
	}
	j.cfg.Logger.Info("first read of a log that was restored from an older copy", "next", oldest, "era", oldest.Era())
	for _, sm := range j.stateMachines {
		if l, ok := sm.(LateStartListener); ok {
			l.StartedAfterRestore(oldest)
		}
	}
	return true
}

// skipTrimmed continues after records that expired before they were read.
func (j *Journal) skipTrimmed(oldest infra.Offset) {
	j.cfg.Logger.Warn("records expired before they were read", "next", oldest)
	for _, sm := range j.stateMachines {
		if t, ok := sm.(TrimListener); ok {
			t.Trimmed(oldest)
		}
	}
	j.resumeAt(oldest)
}

// handleRestore restarts at the oldest record of the log's new era. Surviving
// records are applied again, so that readers that had read past the restored
// copy agree with the other readers and with new ones.
func (j *Journal) handleRestore(oldest infra.Offset) {
	j.cfg.Logger.Warn("the log was restored from an older copy", "next", oldest, "era", oldest.Era())
	j.dedupe = newDeduper(j.cfg.Retention, defaultMaxIDs)
	for _, sm := range j.stateMachines {
		if r, ok := sm.(RestoreListener); ok {
			r.Restored(oldest)
		}
	}
	j.resumeAt(oldest)
}

// resumeAt makes oldest the next offset to read.
func (j *Journal) resumeAt(oldest infra.Offset) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next = oldest
	j.applied = Position{Offset: oldest - 1, Index: maxIndex}
}

func (j *Journal) markUp(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.health.LogUp {
		j.cfg.Logger.Info("log is available")
	}
	j.health.LogUp = true
	j.health.LastContact = at
}

func (j *Journal) markDown(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.health.LogUp {
		j.cfg.Logger.Warn("log is unavailable", "err", err)
	}
	j.health.LogUp = false
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
