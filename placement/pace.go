package placement

import (
	"math"
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
	// free is when all prompts sent so far are expected to have been read.
	free time.Time
	// inflow is the smoothed flow of tokens from other daemons, in tokens a
	// millisecond, as of flowAt.
	inflow float64
	flowAt time.Time
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
	// due is when it was expected to be done.
	due time.Time
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

// flowSpan is the time over which flows are smoothed: long against the states of
// single peers, short against the swings of the load.
const flowSpan = 400.0 // milliseconds

// flow notes tokens that peers have sent over some time. They come in many small
// amounts; what exceeds the engine's rate makes the queue grow.
func (p *pace) flow(now time.Time, tokens float64) {
	elapsed := toMillis(now.Sub(p.flowAt))
	p.inflow = p.inflow*math.Exp(-elapsed/flowSpan) + tokens/flowSpan
	p.flowAt = now
	if p.inflow > p.rate {
		p.push(now, tokens*(1-p.rate/p.inflow))
	}
}

// push puts tokens at the end of the queue and returns its length in
// milliseconds.
func (p *pace) push(now time.Time, tokens float64) float64 {
	total := p.queue(now) + tokens/p.effective()
	p.free = now.Add(millis(total))
	return total
}

// maxCrowd bounds the expected wait behind an inflow, in milliseconds; crowdRead
// is the reading time of one prompt of it.
const (
	maxCrowd  = 60.0
	crowdRead = 10.0
)

// crowd is the expected wait behind prompts of other daemons that aren't heard of
// one by one, as in a queue with random arrivals, in milliseconds.
func (p *pace) crowd(now time.Time) float64 {
	if p.inflow == 0 {
		return 0
	}
	busy := p.inflow * math.Exp(-toMillis(now.Sub(p.flowAt))/flowSpan) / p.rate
	if busy >= 1 {
		return maxCrowd
	}
	return min(maxCrowd, crowdRead*busy/(1-busy)/2)
}

// queue returns the time until the engine is free, in milliseconds.
func (p *pace) queue(now time.Time) float64 { return max(0, toMillis(p.free.Sub(now))) }

// add puts tokens at the end of the queue.
func (p *pace) add(now time.Time, tokens float64) reading {
	if tokens <= 0 {
		return reading{}
	}
	total := p.push(now, tokens)
	return reading{began: now, ahead: total * p.effective(), due: p.free}
}

// learn compares a reading's end with what was expected of it.
func (p *pace) learn(r reading, now time.Time) {
	if r.ahead == 0 {
		return
	}
	took := toMillis(now.Sub(r.began))
	switch {
	case r.ahead >= minReadTokens && took > p.overhead+1:
		sample := r.ahead / (took - p.overhead)
		p.rate += learnStep * (bounded(sample, p.assumed) - p.rate)
	case r.ahead < quickTokens:
		sample := max(0, took-r.ahead/p.rate)
		p.overhead += learnStep * (min(sample, 4*assumedOverhead) - p.overhead)
	}
	// A reading that ended later than expected has kept the later ones too.
	if late := toMillis(now.Sub(r.due)) - p.overhead; late > 0 && p.free.After(now) {
		p.free = p.free.Add(millis(late * learnStep))
	}
}

func bounded(rate, assumed float64) float64 {
	return min(max(rate, assumed/rateSpan), assumed*rateSpan)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
