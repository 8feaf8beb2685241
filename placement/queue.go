package placement

import (
	"sort"
	"time"

	"tamarackchute/enginemodel"
)

// backlog is the work estimated to be pending at an engine, in milliseconds of its time. It
// shrinks as time passes.
type backlog struct {
	millis float64
	at     time.Time
}

// advance moves the backlog on to the current time.
func (b *backlog) advance(now time.Time) {
	b.millis = max(0, b.millis-max(0, enginemodel.Millis(now.Sub(b.at))))
	b.at = now
}

// remaining returns the time until the work is done, in milliseconds.
func (b *backlog) remaining(now time.Time) float64 {
	b.advance(now)
	return b.millis
}

func (b *backlog) add(now time.Time, millis float64) {
	b.advance(now)
	b.millis = max(0, b.millis+millis)
}

// bound limits the estimate by the work known to be pending: at most that work, and at
// least that work less inTransit, the delay with which its end is reported.
func (b *backlog) bound(now time.Time, pending, inTransit float64) {
	b.advance(now)
	b.millis = min(pending, max(0, pending-inTransit, b.millis))
}

// reportDelay is how long a finished prefill still counts as pending, in milliseconds: the
// response crosses the network, and other daemons report it a few milliseconds later.
const reportDelay = 15.0

// queueCorrection is the share of a prefill's prediction error that is applied to the
// estimated queue.
const queueCorrection = 0.1

// recentWork records the work sent to an engine within recentWindow, such as the work that
// can fall between two events of its streams.
type recentWork struct {
	sent []sentWork
	// sum is the total of all work ever sent.
	sum float64
}

// sentWork is the time of some work, and the total sent before it.
type sentWork struct {
	at     time.Time
	before float64
}

// recentWindow is how long sent work is remembered. Gap objectives are shorter.
const recentWindow = time.Second

func (r *recentWork) add(now time.Time, millis float64) {
	r.sent = append(r.sent[r.since(now.Add(-recentWindow)):], sentWork{now, r.sum})
	r.sum += millis
}

// within returns the work sent within the last d, in milliseconds.
func (r *recentWork) within(now time.Time, d time.Duration) float64 {
	first := r.since(now.Add(-d))
	if first == len(r.sent) {
		return 0
	}
	return r.sum - r.sent[first].before
}

// since returns the index of the first work sent at or after t.
func (r *recentWork) since(t time.Time) int {
	return sort.Search(len(r.sent), func(i int) bool { return !r.sent[i].at.Before(t) })
}

// fromMillis is the inverse of enginemodel.Millis.
func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
