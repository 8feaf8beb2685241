package journal

import (
	"context"
	"errors"
	"time"

	"tamarackchute/infra"
)

// readMax is the most records asked for at once.
const readMax = 512

// Waits between two failed calls of the log.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// read folds the log's records, in order, until ctx ends.
func (j *Journal) read(ctx context.Context) {
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

// readOnce does one read and reports whether the log answered.
func (j *Journal) readOnce(ctx context.Context) bool {
	from, first := j.readFrom()
	wait := j.cfg.LongPoll
	if first {
		// The first read must not wait for news: its end is what CaughtUp needs.
		wait = 0
	}
	rctx, cancel := context.WithTimeout(ctx, 2*j.cfg.LongPoll)
	defer cancel()
	res, err := j.log.Read(rctx, from, readMax, wait)
	readAt := time.Now()

	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) && trimmed.Oldest > from {
		j.contact(readAt)
		j.skipTo(trimmed.Oldest)
		return true
	}
	var restored *infra.RestoredError
	if errors.As(err, &restored) {
		j.contact(readAt)
		j.beginAnew(restored.Oldest)
		return true
	}
	if err != nil {
		j.lost(ctx, err)
		return false
	}
	j.contact(readAt)
	for _, r := range res.Records {
		j.fold(r, readAt)
	}
	return j.reached(ctx, res)
}

func (j *Journal) readFrom() (from infra.Offset, first bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.next, j.target == 0
}

// reached closes CaughtUp when it is time, and reports whether the answer
// makes sense: a log whose end lies before what was read has lost records,
// and asking it again at once would be answered at once.
func (j *Journal) reached(ctx context.Context, res infra.ReadResult) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.target == 0 {
		j.target = max(res.Next, 1)
	}
	if j.next >= j.target {
		closeOnce(j.caughtUp)
	}
	if res.Next < j.next && len(res.Records) == 0 {
		j.cfg.Logger.ErrorContext(ctx, "the log ends before records that were read",
			"end", res.Next, "read_up_to", j.next)
		return false
	}
	return true
}

// fold gives a record's entries to their folders.
func (j *Journal) fold(r infra.Record, readAt time.Time) {
	entries, err := DecodeRecord(r.Data)
	var folded, duplicates, corrupt int64
	if err != nil {
		corrupt = 1
		j.cfg.Logger.Warn("skipped a record of the log", "offset", r.Offset, "err", err)
	}
	for i, e := range entries {
		if !j.dedupe.first(e.ID, r.At) {
			duplicates++
			continue
		}
		folded++
		f, ok := j.folders[e.Kind]
		if !ok {
			continue
		}
		at := Position{Offset: r.Offset, Index: uint16(i)}
		f.Apply(LogEntry{Position: at, At: r.At, ReadAt: readAt, Entry: e})
	}

	j.mu.Lock()
	defer j.mu.Unlock()
	j.next = r.Offset + 1
	j.applied = Position{Offset: r.Offset, Index: uint16(max(len(entries)-1, 0))}
	j.stats.Applied += folded
	j.stats.Duplicates += duplicates
	j.stats.Corrupt += corrupt
	for i, e := range entries {
		j.queue.folded(e.ID, Position{Offset: r.Offset, Index: uint16(i)})
	}
}

// skipTo goes on after a gap of expired records.
func (j *Journal) skipTo(oldest infra.Offset) {
	j.cfg.Logger.Warn("records expired before they were read", "next", oldest)
	for _, f := range j.folders {
		if t, ok := f.(TrimListener); ok {
			t.Trimmed(oldest)
		}
	}
	j.goOnAt(oldest)
}

// beginAnew reads the log of a new era from its oldest record. Those that were read
// before and have outlived the restore are folded once more: readers that had read
// further than others agree again with them, and with one that begins now.
func (j *Journal) beginAnew(oldest infra.Offset) {
	j.cfg.Logger.Warn("the log was restored from an older copy", "next", oldest, "era", oldest.Era())
	j.dedupe = newDeduper(j.cfg.Retention, defaultMaxIDs)
	for _, f := range j.folders {
		if r, ok := f.(RestoreListener); ok {
			r.Restored(oldest)
		}
	}
	j.goOnAt(oldest)
}

// goOnAt makes a record the next one to read.
func (j *Journal) goOnAt(oldest infra.Offset) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next = oldest
	j.applied = Position{Offset: oldest - 1, Index: lastIndex}
}

func (j *Journal) contact(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.health.LogUp {
		j.cfg.Logger.Info("the log answers")
	}
	j.health.LogUp = true
	j.health.LastContact = at
}

func (j *Journal) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.health.LogUp {
		j.cfg.Logger.Warn("the log doesn't answer", "err", err)
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
