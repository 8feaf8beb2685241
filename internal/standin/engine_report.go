package standin

import (
	"sort"
	"time"

	"tamarackchute/upstream"
)

// loadHistory keeps what load reports said, so that a report can be as late
// as the lag says. Within a bucket of time only the last state is kept.
type loadHistory struct {
	bucket  time.Duration
	lag     time.Duration
	reports []upstream.LoadReport
}

// lagBuckets is into how many buckets a lag is cut.
const lagBuckets = 20

func newLoadHistory(lag time.Duration) loadHistory {
	return loadHistory{lag: lag, bucket: max(lag/lagBuckets, time.Millisecond)}
}

func (h *loadHistory) add(r upstream.LoadReport) {
	last := len(h.reports) - 1
	if last >= 0 && h.reports[last].At.Truncate(h.bucket).Equal(r.At.Truncate(h.bucket)) {
		h.reports[last] = r
		return
	}
	h.reports = append(h.reports, r)
	h.trim(r.At)
}

// trim drops the reports that are older than any answer needs.
func (h *loadHistory) trim(now time.Time) {
	keep := h.index(now)
	h.reports = h.reports[max(keep, 0):]
}

// index finds the latest report that is at least lag old; -1 if none is.
func (h *loadHistory) index(now time.Time) int {
	limit := now.Add(-h.lag)
	return sort.Search(len(h.reports), func(i int) bool { return h.reports[i].At.After(limit) }) - 1
}

// at returns what the engine says at a time. Since the report was made nothing
// had changed until lag before now, so its figures count as lag old.
func (h *loadHistory) at(now time.Time) upstream.LoadReport {
	i := max(h.index(now), 0)
	r := h.reports[i]
	if limit := now.Add(-h.lag); r.At.Before(limit) {
		r.At = limit
	}
	r.AgeMillis = max(0, now.Sub(r.At).Milliseconds())
	return r
}

// eventLog keeps cache events until they may be told.
type eventLog struct {
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

const (
	maxEvents     = 8192
	maxEventReply = 2048
)

// add notes an event. A lost one takes a number and leaves a gap.
func (l *eventLog) add(now time.Time, block uint64, stored, lost bool) {
	l.seq++
	if lost {
		return
	}
	l.events = append(l.events, timedEvent{
		at:    now,
		event: upstream.CacheEvent{Seq: l.seq, Block: block, Stored: stored},
	})
	if len(l.events) > 2*maxEvents {
		l.events = append([]timedEvent(nil), l.events[len(l.events)-maxEvents:]...)
	}
}

// after returns the events past a number that happened before a time.
func (l *eventLog) after(seq uint64, before time.Time) []upstream.CacheEvent {
	from := sort.Search(len(l.events), func(i int) bool { return l.events[i].event.Seq > seq })
	out := []upstream.CacheEvent{}
	for _, e := range l.events[from:] {
		if e.at.After(before) || len(out) == maxEventReply {
			break
		}
		out = append(out, e.event)
	}
	return out
}
