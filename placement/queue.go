package placement

import (
	"sort"
	"time"

	"tamarackchute/enginemodel"
)

// backlog is the work believed to wait at an engine, in milliseconds of its time. It
// goes down as time passes.
type backlog struct {
	millis float64
	at     time.Time
}

// advance moves the backlog on to the present.
func (b *backlog) advance(now time.Time) {
	b.millis = max(0, b.millis-max(0, enginemodel.Millis(now.Sub(b.at))))
	b.at = now
}

// left returns the time until the work is done, in milliseconds.
func (b *backlog) left(now time.Time) float64 {
	b.advance(now)
	return b.millis
}

func (b *backlog) add(now time.Time, millis float64) {
	b.advance(now)
	b.millis = max(0, b.millis+millis)
}

// bound keeps the belief within what is known to be waited for: no longer than that
// takes, and no shorter than that less the time that answers are on their way.
func (b *backlog) bound(now time.Time, waitedFor, underway float64) {
	b.advance(now)
	b.millis = min(waitedFor, max(0, waitedFor-underway, b.millis))
}

// toldAfter is how long a prompt that has been read still counts as waited for: the
// answer crosses the network, and other daemons tell of it a few milliseconds later.
const toldAfter = 15.0

// latenessStep is the weight of one reading's lateness in the belief about the queue
// behind it.
const latenessStep = 0.1

// recently sums up the work sent to an engine within the last while: what can fall
// between two events of its streams.
type recently struct {
	sent []sentWork
	// sum is of all work ever sent.
	sum float64
}

// sentWork is some work, and the sum of all that was sent before it.
type sentWork struct {
	at     time.Time
	before float64
}

// rememberedFor bounds what is remembered. Pauses that count as on time are shorter.
const rememberedFor = time.Second

func (r *recently) add(now time.Time, millis float64) {
	r.sent = append(r.sent[r.since(now.Add(-rememberedFor)):], sentWork{now, r.sum})
	r.sum += millis
}

// within returns the work sent within the last while, in milliseconds.
func (r *recently) within(now time.Time, d time.Duration) float64 {
	first := r.since(now.Add(-d))
	if first == len(r.sent) {
		return 0
	}
	return r.sum - r.sent[first].before
}

// since returns the place of the first work sent at a time or later.
func (r *recently) since(t time.Time) int {
	return sort.Search(len(r.sent), func(i int) bool { return !r.sent[i].at.Before(t) })
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
