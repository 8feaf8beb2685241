package placement

import (
	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// Snapshot is the learned state that a daemon hands to one that has just started. Without
// it the new daemon would send prompts to engines that lack their parts, and mistake cache
// hits for fast prefill.
type Snapshot struct {
	// Models are the observations by pool.
	Models map[string]enginemodel.Observations
	// Cached lists the cached parts by engine.
	Cached []EngineCache `msgpack:"Kept" json:"Kept"`
}

// EngineCache lists the parts that an engine has cached, the most recently used last.
type EngineCache struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Engine   Key
	Parts    []Part
}

// Snapshot returns the current state, with the cached parts of the requested engines as far
// as they are known.
func (tr *Tracker) Snapshot(engines []Key) Snapshot {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	all := Snapshot{Models: tr.localObservations()}
	for _, key := range engines {
		if e := tr.byKey[key]; e != nil && e.cacheKnown {
			all.Cached = append(all.Cached, EngineCache{Engine: key, Parts: e.cache.listParts()})
		}
	}
	return all
}

// localObservations returns this daemon's observations by pool. tr.mu is held.
func (tr *Tracker) localObservations() map[string]enginemodel.Observations {
	all := make(map[string]enginemodel.Observations, len(tr.models))
	for pool, m := range tr.models {
		all[pool] = m.LocalObservations()
	}
	return all
}

// LocalObservations returns this daemon's observations of the engines, by pool.
func (tr *Tracker) LocalObservations() map[string]enginemodel.Observations {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.localObservations()
}

// AllObservations returns the combined observations of all daemons, by pool.
func (tr *Tracker) AllObservations() map[string]enginemodel.Observations {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	all := make(map[string]enginemodel.Observations, len(tr.models))
	for pool, m := range tr.models {
		if observations, ok := m.AllObservations(); ok {
			all[pool] = observations
		}
	}
	return all
}

// Merge replaces a peer's observations of the engines. It returns the pools whose observations are
// invalid and ignored.
func (tr *Tracker) Merge(peer string, models map[string]enginemodel.Observations) (invalid []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for pool, observations := range models {
		if !tr.model(pool).Merge(peer, observations) {
			invalid = append(invalid, pool)
		}
	}
	return invalid
}

// Restore takes over a peer's snapshot.
func (tr *Tracker) Restore(peer string, snapshot Snapshot) {
	tr.Merge(peer, snapshot.Models)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, k := range snapshot.Cached {
		if e := tr.byKey[k.Engine]; e != nil && e.cache != nil {
			e.cache.addMissing(k.Parts)
			e.cacheKnown = true
		}
	}
}

// SetCachedParts records the cached parts that an engine itself has listed. They are also
// reported to the peers.
func (tr *Tracker) SetCachedParts(id string, parts []Part) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.byID[id]
	if e == nil || e.cache == nil {
		return
	}
	e.cache.addMissing(parts)
	e.cacheKnown = true
	for _, p := range parts {
		tr.prefillEvents = append(tr.prefillEvents, PrefillEvent{Engine: e.key(), State: PrefillFinished, LastShared: p})
	}
}

// listParts returns the cached parts, the most recently used last.
func (c *cacheEstimate) listParts() []Part {
	parts := make([]Part, 0, c.parts.Len())
	for _, id := range c.parts.Keys() {
		if tokens, ok := c.parts.Peek(id); ok && !c.isPlaceholder(id) {
			parts = append(parts, Part{ID: id, Tokens: tokens})
		}
	}
	return parts
}

// addMissing adds cached parts as if they had been prefilled in the given order.
func (c *cacheEstimate) addMissing(parts []Part) {
	for _, p := range parts {
		if !c.parts.Contains(p.ID) {
			c.add(p)
		}
	}
}

// isPlaceholder reports whether an ID only stands for the unshared part of another daemon's
// prompt.
func (c *cacheEstimate) isPlaceholder(id uint64) bool { return ^id <= c.placeholders }

// PoolParameters are the learned parameters of a pool's engines, with the error of past
// prefill predictions.
type PoolParameters struct {
	Parameters                *enginemodel.Parameters
	PrefillError, DecodeError enginemodel.ErrorStats
}

// Parameters returns the learned parameters of the engines, by pool.
func (tr *Tracker) Parameters() map[string]PoolParameters {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	all := make(map[string]PoolParameters, len(tr.models))
	for pool, m := range tr.models {
		all[pool] = PoolParameters{Parameters: m.Parameters(), PrefillError: m.PredictionErrors(upstream.RolePrefill), DecodeError: m.PredictionErrors(upstream.RoleDecode)}
	}
	return all
}
