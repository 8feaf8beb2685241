package relay

import (
	"math"
	"sync"
	"time"

	"tamarackchute/internal/telemetry"
)

// demandTimeConstant is the time constant of the exponential smoothing of demand: long
// compared to single requests, short compared to load shifts, which last seconds.
const demandTimeConstant = 1500 * time.Millisecond

// Demand is the load that callers offer to a pool of engines, refused requests included.
type Demand struct {
	// PrefillEngines is how many prefill engines the prompts keep busy: the seconds of
	// prefill that arrive per second.
	PrefillEngines float64
	// DecodeEngines is the same for the responses: the seconds of an engine's time that they take
	// when it runs as many as it has room for.
	DecodeEngines float64
}

// demandMeter smooths the demand on each pool.
type demandMeter struct {
	mu    sync.Mutex
	pools map[string]*smoothedDemand
}

type smoothedDemand struct {
	Demand
	at time.Time
}

func (m *demandMeter) add(pool string, prefillMillis, decodeMillis float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pools == nil {
		m.pools = make(map[string]*smoothedDemand)
	}
	p := m.pools[pool]
	if p == nil {
		p = &smoothedDemand{at: now}
		m.pools[pool] = p
	}
	p.decay(now)
	p.PrefillEngines += prefillMillis / telemetry.Millis(demandTimeConstant)
	p.DecodeEngines += decodeMillis / telemetry.Millis(demandTimeConstant)
}

func (p *smoothedDemand) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(p.at)) / float64(demandTimeConstant))
	p.PrefillEngines *= factor
	p.DecodeEngines *= factor
	p.at = now
}

// Demand returns the current demand on each pool of engines.
func (r *Relay) Demand() map[string]Demand {
	r.demand.mu.Lock()
	defer r.demand.mu.Unlock()
	all := make(map[string]Demand, len(r.demand.pools))
	now := time.Now()
	for name, p := range r.demand.pools {
		p.decay(now)
		all[name] = p.Demand
	}
	return all
}
