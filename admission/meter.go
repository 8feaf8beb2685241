package admission

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of the meter's decay.
const meterTimeConstant = 4 * time.Second

// maxMeterRetention is the most of the previous values that a serve retains.
const maxMeterRetention = 0.98

// meter measures how fast a queue drains: the cost served over the time in which
// something waited, with exponential decay. Idle time says nothing about capacity.
// The time since the last serve counts once it exceeds the usual gap, so that a
// queue served in bursts doesn't seem stalled and a stalled one does.
type meter struct {
	served     float64
	busy       float64 // seconds with a queue, up to the last serve
	serves     float64
	sinceServe float64 // seconds with a queue since the last serve
	last       time.Time
}

// seed sets an initial rate, as if observed for a second, unless one was observed.
func (m *meter) seed(rate float64) {
	if m.busy > 0 || rate <= 0 {
		return
	}
	m.served = rate
	m.busy = 1
	m.serves = 1
}

// tick advances the time. waiting says whether the queue was nonempty since the
// last tick.
func (m *meter) tick(now time.Time, waiting bool) {
	if waiting && !m.last.IsZero() {
		m.sinceServe += max(0, now.Sub(m.last).Seconds())
	}
	m.last = now
}

// serve records that a cost was taken from the queue.
func (m *meter) serve(cost float64) {
	keep := min(maxMeterRetention, math.Exp(-m.sinceServe/meterTimeConstant.Seconds()))
	m.served = m.served*keep + cost
	m.busy = m.busy*keep + m.sinceServe
	m.serves = m.serves*keep + 1
	m.sinceServe = 0
}

// rate is the cost served per second; 0 if unknown.
func (m *meter) rate() float64 {
	if m.busy <= 0 {
		return 0
	}
	usual := m.busy / m.serves
	return m.served / (m.busy + max(0, m.sinceServe-usual))
}

// wait is the expected time to serve a cost.
func (m *meter) wait(cost float64) time.Duration {
	r := m.rate()
	if r <= 0 || cost <= 0 {
		return 0
	}
	return min(time.Hour, time.Duration(cost/r*float64(time.Second)))
}
