package standin

import (
	"sort"
	"time"

	"tamarackchute/upstream"
)

// loadHistory keeps past load reports, so that reports can be delayed by the lag. It keeps
// only the last report in each time bucket.
type loadHistory struct {
	bucket  time.Duration
	lag     time.Duration
	reports []upstream.LoadReport
}

// lagBuckets is the number of buckets within one lag.
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

// trim removes the reports that are too old to be returned.
func (h *loadHistory) trim(now time.Time) {
	keep := h.index(now)
	h.reports = h.reports[max(keep, 0):]
}

// index returns the index of the latest report that is at least lag old; -1 if there is
// none.
func (h *loadHistory) index(now time.Time) int {
	limit := now.Add(-h.lag)
	return sort.Search(len(h.reports), func(i int) bool { return h.reports[i].At.After(limit) }) - 1
}

// at returns the report as of now minus lag. The load didn't change between the last report
// before that time and that time, so an older report is dated to it.
func (h *loadHistory) at(now time.Time) upstream.LoadReport {
	i := max(h.index(now), 0)
	r := h.reports[i]
	if limit := now.Add(-h.lag); r.At.Before(limit) {
		r.At = limit
	}
	r.AgeMillis = max(0, now.Sub(r.At).Milliseconds())
	return r
}

// eventLog keeps cache events until they are old enough to be returned.
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

// add records an event. A lost event uses a sequence number and leaves a gap.
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

// after returns the events with a higher sequence number that happened before a time.
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
