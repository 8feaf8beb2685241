package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"tamarackchute/upstream"
)

// start identifies one start of an upstream. Unlike Key it is never shared by two: a backoff must
// not bind another upstream.
type start struct {
	id string
	// unixMillis is the time of the start.
	unixMillis int64
}

func startOf(id string, started time.Time) start { return start{id, started.UnixMilli()} }

// BackOff excludes an upstream for the given time because it has asked for that. The later of
// two ends holds. Afterwards it gets one request at a time until one is answered. BackOff returns
// false if the upstream is already in a backoff that lasts as long.
func (tr *Tracker) BackOff(id string, started time.Time, d time.Duration) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now, at := tr.now(), startOf(id, started)
	until := now.Add(d)
	if !until.After(tr.backoffs[at]) {
		return false
	}
	tr.dropExpiredBackoffs(now)
	tr.backoffs[at] = until
	if e := tr.byID[id]; e != nil && e.Started.Equal(started) {
		e.health.backOff(until)
	}
	return true
}

// dropExpiredBackoffs drops the backoffs that are over. tr.mu is held.
func (tr *Tracker) dropExpiredBackoffs(now time.Time) {
	maps.DeleteFunc(tr.backoffs, func(_ start, until time.Time) bool { return !now.Before(until) })
}

// BackoffLeft returns how long an upstream is still in backoff, 0 if it isn't.
func (tr *Tracker) BackoffLeft(id string, started time.Time) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if until, known := tr.backoffs[startOf(id, started)]; known {
		return max(0, until.Sub(tr.now()))
	}
	return 0
}

// PoolBackoff says when the upstreams of a pool end their backoffs.
type PoolBackoff struct {
	// First is the time until the first one ends its backoff, FirstUsable that until the first
	// one does which the request doesn't exclude; the longest duration if it excludes all.
	First, FirstUsable time.Duration
}

// PoolBackoff returns the backoffs of the upstreams of a pool, if all those that could run a request
// are in one, or have named a limit that allows no request now. ok is false otherwise, or if there
// are none.
func (tr *Tracker) PoolBackoff(pool string, exclude []string) (backoff PoolBackoff, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	backoff = PoolBackoff{First: math.MaxInt64, FirstUsable: math.MaxInt64}
	p := tr.pools[pool]
	if p == nil {
		return backoff, false
	}
	now := tr.now()
	for _, e := range p.all {
		if e.Role == upstream.RolePrefill {
			continue
		}
		left := max(e.health.backoffUntil.Sub(now), tr.waitForLimit(e))
		if left <= 0 {
			return backoff, false
		}
		backoff.First = min(backoff.First, left)
		if !slices.Contains(exclude, e.ID) {
			backoff.FirstUsable = min(backoff.FirstUsable, left)
		}
		ok = true
	}
	return backoff, ok
}
