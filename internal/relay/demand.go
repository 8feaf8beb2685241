package relay

import (
	"math"
	"sync"
	"time"

	"tamarackchute/internal/telemetry"
)

// demandSpan is the time over which demand is smoothed: long against single
// requests, short against the seconds that a shift of the load lasts.
const demandSpan = 1500 * time.Millisecond

// Demand is what callers ask of a pool of engines, refused requests included.
type Demand struct {
	// PrefillEngines are the engines that the prompts keep busy: the time that an engine
	// which only reads takes for them, in seconds a second.
	PrefillEngines float64
}

// demandMeter smooths the demand on each pool.
type demandMeter struct {
	mu    sync.Mutex
	pools map[string]*measured
}

type measured struct {
	Demand
	at time.Time
}

func (m *demandMeter) add(pool string, millis float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pools == nil {
		m.pools = make(map[string]*measured)
	}
	p := m.pools[pool]
	if p == nil {
		p = &measured{at: now}
		m.pools[pool] = p
	}
	p.decay(now)
	p.PrefillEngines += millis / telemetry.Millis(demandSpan)
}

func (p *measured) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.at)) / float64(demandSpan))
	p.PrefillEngines *= keep
	p.at = now
}

// Demand returns the demand on each pool of engines now.
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
