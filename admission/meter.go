package admission

import (
	"math"
	"time"
)

// meterSpan is the time over which a meter forgets.
const meterSpan = 4 * time.Second

// meter measures how fast a queue drains: cost served over the time in which
// something waited, both forgotten exponentially. Time without a queue says
// nothing about capacity and isn't counted.
type meter struct {
	served float64
	busy   float64 // seconds
	last   time.Time
}

// prime gives a rate to start from, as if seen for a second.
func (m *meter) prime(rate float64) {
	if m.busy > 0 || rate <= 0 {
		return
	}
	m.served = rate
	m.busy = 1
}

// tick moves time on. waiting says whether something has waited since the
// last tick.
func (m *meter) tick(now time.Time, waiting bool) {
	if m.last.IsZero() {
		m.last = now
		return
	}
	dt := now.Sub(m.last).Seconds()
	m.last = now
	if !waiting || dt <= 0 {
		return
	}
	keep := math.Exp(-dt / meterSpan.Seconds())
	m.served *= keep
	m.busy = m.busy*keep + dt
}

// serve counts something taken from the queue.
func (m *meter) serve(cost float64) { m.served += cost }

// rate is the cost served a second; 0 if nothing is known.
func (m *meter) rate() float64 {
	if m.busy <= 0 {
		return 0
	}
	return m.served / m.busy
}

// wait is the time to serve a cost.
func (m *meter) wait(cost float64) time.Duration {
	r := m.rate()
	if r <= 0 || cost <= 0 {
		return 0
	}
	return min(time.Hour, time.Duration(cost/r*float64(time.Second)))
}
