package admission

import (
	"math"
	"time"
)

// meterSpan is the time over which a meter forgets.
const meterTimeConstant = 4 * time.Second

// meterKeep is what a serve leaves of those before it at most.
const maxMeterRetention = 0.98

// meter measures how fast a queue drains: the cost served over the time in
// which something waited, both forgotten alike. Time without a queue says
// nothing about capacity and isn't counted. The time since the last serve
// counts once it is longer than usual, so that a queue that goes in lumps
// doesn't seem to have stopped between two of them, and one that has stopped
// does.
type meter struct {
	served     float64
	busy       float64 // seconds, up to the last serve
	serves     float64
	sinceServe float64 // seconds since the last serve
	last       time.Time
}

// prime gives a rate to start from, as if seen for a second.
func (m *meter) seed(rate float64) {
	if m.busy > 0 || rate <= 0 {
		return
	}
	m.served = rate
	m.busy = 1
	m.serves = 1
}

// tick moves time on. waiting says whether something has waited since the
// last tick.
func (m *meter) tick(now time.Time, waiting bool) {
	if waiting && !m.last.IsZero() {
		m.sinceServe += max(0, now.Sub(m.last).Seconds())
	}
	m.last = now
}

// serve counts something taken from the queue.
func (m *meter) serve(cost float64) {
	keep := min(maxMeterRetention, math.Exp(-m.sinceServe/meterTimeConstant.Seconds()))
	m.served = m.served*keep + cost
	m.busy = m.busy*keep + m.sinceServe
	m.serves = m.serves*keep + 1
	m.sinceServe = 0
}

// rate is the cost served a second; 0 if nothing is known.
func (m *meter) rate() float64 {
	if m.busy <= 0 {
		return 0
	}
	usual := m.busy / m.serves
	return m.served / (m.busy + max(0, m.sinceServe-usual))
}

// wait is the time to serve a cost.
func (m *meter) wait(cost float64) time.Duration {
	r := m.rate()
	if r <= 0 || cost <= 0 {
		return 0
	}
	return min(time.Hour, time.Duration(cost/r*float64(time.Second)))
}
