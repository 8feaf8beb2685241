package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"tamarackchute/upstream"
)

// start identifies one start of an upstream. Unlike Key it is never shared by two: a rest must
// not bind another upstream.
type start struct {
	id string
	// unixMillis is the time of the start.
	unixMillis int64
}

func startOf(id string, started time.Time) start { return start{id, started.UnixMilli()} }

// Rest excludes an upstream for the given time because it has asked for that. The later of
// two ends holds. Afterwards it gets one request at a time until one is answered. Rest returns
// false if the upstream already rests for as long.
func (tr *Tracker) Rest(id string, started time.Time, d time.Duration) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now, at := tr.now(), startOf(id, started)
	until := now.Add(d)
	if !until.After(tr.rests[at]) {
		return false
	}
	tr.dropOldRests(now)
	tr.rests[at] = until
	if e := tr.byID[id]; e != nil && e.Started.Equal(started) {
		e.health.rest(until)
	}
	return true
}

// dropOldRests drops the rests that are over. tr.mu is held.
func (tr *Tracker) dropOldRests(now time.Time) {
	maps.DeleteFunc(tr.rests, func(_ start, until time.Time) bool { return !now.Before(until) })
}

// RestLeft returns how long an upstream still rests, 0 if it doesn't.
func (tr *Tracker) RestLeft(id string, started time.Time) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if until, rests := tr.rests[startOf(id, started)]; rests {
		return max(0, until.Sub(tr.now()))
	}
	return 0
}

// PoolRest says when the upstreams of a pool end their rests.
type PoolRest struct {
	// First is the time until the first one ends its rest, FirstUsable that until the first
	// one does which the request doesn't exclude; the longest duration if it excludes all.
	First, FirstUsable time.Duration
}

// PoolRest returns the rests of the upstreams of a pool, if all those that could run a request
// rest. ok is false otherwise, or if there are none.
func (tr *Tracker) PoolRest(pool string, exclude []string) (rest PoolRest, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	rest = PoolRest{First: math.MaxInt64, FirstUsable: math.MaxInt64}
	p := tr.pools[pool]
	if p == nil {
		return rest, false
	}
	now := tr.now()
	for _, e := range p.all {
		if e.Role == upstream.RolePrefill {
			continue
		}
		left := e.health.restsUntil.Sub(now)
		if left <= 0 {
			return rest, false
		}
		rest.First = min(rest.First, left)
		if !slices.Contains(exclude, e.ID) {
			rest.FirstUsable = min(rest.FirstUsable, left)
		}
		ok = true
	}
	return rest, ok
}
