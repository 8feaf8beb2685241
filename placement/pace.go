package placement

import (
	"time"

	"tamarackchute/upstream"
)

// What is assumed of an engine until it has shown its own pace: engines that
// generate read at about half the speed of those that only read.
const (
	assumedPrefillRate = 430.0 // tokens a millisecond
	assumedDecodeRate  = 200.0
	assumedOverhead    = 12.0 // milliseconds
	// learnStep is the weight of one observation in a learnt figure.
	learnStep = 0.05
	// minReadTokens is the shortest queue of tokens whose time says something
	// about the rate; below quickTokens it says something about the overhead.
	minReadTokens = 4000.0
	quickTokens   = 2500.0
	// rateSpan bounds the learnt rate to this factor around the assumed one.
	rateSpan = 2.0
)

// pace models how an engine reads prompts: one after the other at a rate, each
// answer an overhead later. The overhead (network, scheduling, the first token)
// doesn't keep the engine from the next prompt; to count it as work would make
// a busy engine look busier the more requests it answers.
type pace struct {
	rate     float64 // tokens a millisecond
	overhead float64 // milliseconds
	assumed  float64
	// queued is the time that the prompts sent there take, in milliseconds, as
	// of at.
	queued float64
	at     time.Time
	// duty is the share of the time in which prompts are read while long streams
	// run there; streams says that some do.
	duty    float64
	streams bool
	eased   time.Time
}

// reading is one prompt in an engine's queue.
type reading struct {
	began time.Time
	// ahead are the tokens to be read until it is done, its own included.
	ahead float64
}

// An engine that reads prompts without a break gives its streams their events at
// the slowest pace, which may be longer than the pause that counts as on time.
// The duty leaves breaks. It falls with each pause that comes near the objective
// and rises while they stay well below.
const (
	firstDuty    = 0.85
	leastDuty    = 0.4
	dutyDrop     = 0.06
	dutyRise     = 0.01
	pauseHigh    = 0.95
	pauseLow     = 0.85
	dutyInterval = 150 * time.Millisecond
)

// effective is the rate at which prompts should be sent there.
func (p *pace) effective() float64 {
	if p.streams {
		return p.rate * p.duty
	}
	return p.rate
}

// paused takes a pause between two events of a long stream there, as a share of
// the longest that counts as on time.
func (p *pace) paused(share float64, now time.Time) {
	switch {
	case share > pauseHigh && now.Sub(p.eased) > dutyInterval:
		p.duty = max(leastDuty, p.duty-dutyDrop)
		p.eased = now
	case share < pauseLow:
		p.duty = min(1, p.duty+dutyRise*(pauseLow-share))
	}
}

// AssumedRate is the rate at which an engine is assumed to read prompts, in tokens
// a millisecond.
func AssumedRate(r upstream.Role) float64 {
	if r == upstream.RoleDecode {
		return assumedDecodeRate
	}
	return assumedPrefillRate
}

func newPace(r upstream.Role) pace {
	rate := AssumedRate(r)
	return pace{rate: rate, assumed: rate, overhead: assumedOverhead, duty: firstDuty}
}

// maxQueued bounds what a queue is believed to be, in milliseconds: a belief
// beyond that keeps everybody away all the same.
const maxQueued = 1500.0

// advance moves the queue on to the present.
func (p *pace) advance(now time.Time) {
	p.queued = max(0, p.queued-max(0, toMillis(now.Sub(p.at))))
	p.at = now
}

// queue returns the time until the engine is free, in milliseconds.
func (p *pace) queue(now time.Time) float64 {
	p.advance(now)
	return p.queued
}

// add puts tokens at the end of the queue.
func (p *pace) add(now time.Time, tokens float64) reading {
	p.advance(now)
	if tokens <= 0 {
		return reading{}
	}
	p.queued = min(maxQueued, p.queued+tokens/p.effective())
	return reading{began: now, ahead: p.queued * p.effective()}
}

// learn compares a reading's end with what was expected of it.
func (p *pace) learn(r reading, now time.Time) {
	if r.ahead == 0 {
		return
	}
	took := toMillis(now.Sub(r.began))
	late := took - p.overhead - r.ahead/p.effective()
	switch {
	case r.ahead >= minReadTokens && took > p.overhead+1:
		sample := r.ahead / (took - p.overhead)
		p.rate += learnStep * (bounded(sample, p.assumed) - p.rate)
	case r.ahead < quickTokens:
		sample := max(0, took-r.ahead/p.rate)
		p.overhead += learnStep * (min(sample, 4*assumedOverhead) - p.overhead)
	}
	// A reading that ended later than expected has kept those behind it too.
	p.advance(now)
	p.queued = min(maxQueued, max(0, p.queued+queueStep*late))
}

// bound keeps the belief about the queue within what the tokens that are waited
// for allow: it can't be longer than they take, nor shorter than that less the
// time that answers take on their way.
func (p *pace) bound(now time.Time, unread float64) {
	p.advance(now)
	most := unread / p.effective()
	least := max(0, most-p.overhead-underway)
	p.queued = min(most, max(least, p.queued))
}

// underway is the time for which a prompt that has been read is still waited for,
// beyond the overhead: states between daemons take that long.
const underway = 15.0

// queueStep is the weight of one reading's lateness in the belief about the queue
// behind it.
const queueStep = 0.1

func bounded(rate, assumed float64) float64 {
	return min(max(rate, assumed/rateSpan), assumed*rateSpan)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
