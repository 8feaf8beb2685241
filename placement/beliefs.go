package placement

import (
	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// Beliefs are what a daemon has learnt, for another one that has just started: it
// would send prompts to engines that don't keep their parts, and take the time of
// those that happen to be kept for the engines' speed.
type Snapshot struct {
	// Models are what it has observed, by pool.
	Models map[string]enginemodel.Observations
	Cached []EngineCache `msgpack:"Kept" json:"Kept"`
}

// KeptAt are the parts that an engine keeps, the most recently used last.
type EngineCache struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Engine   Key
	Parts    []Part
}

// Beliefs returns what is believed now, of what engines keep only for some of them, as
// far as it is known.
func (b *Tracker) Snapshot(of []Key) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := Snapshot{Models: b.learnt()}
	for _, key := range of {
		if e := b.keys[key]; e != nil && e.listed {
			all.Cached = append(all.Cached, EngineCache{Engine: key, Parts: e.cache.list()})
		}
	}
	return all
}

// learnt returns what this daemon has observed, by pool. b.mu is held.
func (b *Tracker) learnt() map[string]enginemodel.Observations {
	all := make(map[string]enginemodel.Observations, len(b.models))
	for pool, m := range b.models {
		all[pool] = m.LocalObservations()
	}
	return all
}

// Learnt returns what this daemon has observed of the engines, by pool.
func (b *Tracker) LocalObservations() map[string]enginemodel.Observations {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.learnt()
}

// LearntByAll returns what all daemons have observed of the engines, by pool.
func (b *Tracker) AllObservations() map[string]enginemodel.Observations {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]enginemodel.Observations, len(b.models))
	for pool, m := range b.models {
		if learnt, some := m.AllObservations(); some {
			all[pool] = learnt
		}
	}
	return all
}

// Merge takes over what a peer has observed of the engines.
func (b *Tracker) Merge(peer string, models map[string]enginemodel.Observations) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for pool, learnt := range models {
		b.model(pool).Merge(peer, learnt)
	}
}

// Adopt takes over what a peer believes.
func (b *Tracker) Restore(peer string, beliefs Snapshot) {
	b.Merge(peer, beliefs.Models)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range beliefs.Cached {
		if e := b.keys[k.Engine]; e != nil && e.cache != nil {
			e.cache.adopt(k.Parts)
			e.listed = true
		}
	}
}

// Listed takes an engine's own word on what it keeps. The peers are told of it.
func (b *Tracker) SetCachedParts(id string, parts []Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.upstreams[id]
	if e == nil || e.cache == nil {
		return
	}
	e.cache.adopt(parts)
	e.listed = true
	for _, p := range parts {
		b.reads = append(b.reads, PrefillEvent{Engine: e.key(), State: PrefillFinished, LastShared: p})
	}
}

// list returns the parts kept, the most recently used last.
func (c *cacheBelief) list() []Part {
	parts := make([]Part, 0, c.parts.Len())
	for _, id := range c.parts.Keys() {
		if tokens, ok := c.parts.Peek(id); ok && !c.filler(id) {
			parts = append(parts, Part{ID: id, Tokens: tokens})
		}
	}
	return parts
}

// adopt adds parts that are kept, as if they had been read in that order.
func (c *cacheBelief) adopt(parts []Part) {
	for _, p := range parts {
		if !c.parts.Contains(p.ID) {
			c.add(p)
		}
	}
}

// filler reports whether an entry only stands for another daemon's prompts' own parts.
func (c *cacheBelief) filler(id uint64) bool { return ^id <= c.fillers }

// PoolFigures are what is known of a pool's engines, with how well their readings were
// predicted.
type PoolParameters struct {
	Parameters                *enginemodel.Parameters
	PrefillError, DecodeError enginemodel.Error
}

// Figures returns what is known of the engines, by pool.
func (b *Tracker) Parameters() map[string]PoolParameters {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]PoolParameters, len(b.models))
	for pool, m := range b.models {
		all[pool] = PoolParameters{Parameters: m.Parameters(), PrefillError: m.Error(upstream.RolePrefill), DecodeError: m.Error(upstream.RoleDecode)}
	}
	return all
}
