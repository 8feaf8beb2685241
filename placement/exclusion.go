package placement

import (
	"fmt"
	"slices"
	"time"

	"tamarackchute/upstream"
)

// ExclusionReason says why an upstream gets no requests of this daemon for now.
type ExclusionReason string

// The reasons, in the order in which they are checked.
const (
	// ExcludedUnavailable: it refused, was replaced or changes its role.
	ExcludedUnavailable ExclusionReason = "unavailable"
	// ExcludedBackoff: it has asked for a backoff.
	ExcludedBackoff ExclusionReason = "backoff"
	// ExcludedLimit: the limit that it has named allows no request now.
	ExcludedLimit ExclusionReason = "limit"
	// ExcludedEjected: its attempts failed.
	ExcludedEjected ExclusionReason = "ejected"
	// ExcludedProbing: one request at a time finds out whether it answers again.
	ExcludedProbing ExclusionReason = "probing"
)

// Exclusion is an upstream that gets no requests for now.
type Exclusion struct {
	ID     string
	Reason ExclusionReason
	// Since is the time since it was ejected, zero for the other reasons; Left that until the
	// exclusion ends, zero if that isn't known.
	Since, Left time.Duration
}

// String returns the exclusion in the form of the log.
func (x Exclusion) String() string {
	return fmt.Sprintf("%s %s since_ms=%d left_ms=%d", x.ID, x.Reason, x.Since.Milliseconds(), x.Left.Milliseconds())
}

// PoolUse tells which upstreams of a pool get requests.
type PoolUse struct {
	// Listed counts all, Answering those that don't only prefill. Usable counts those that aren't excluded; the ones among them that have no free slot are Full.
	Listed, Answering, Usable, Full int
	// Excluded are some of the others.
	Excluded []Exclusion
}

// PoolUse returns which upstreams of a pool get requests, with at most limit exclusions.
func (tr *Tracker) PoolUse(pool string, limit int) PoolUse { return tr.UseWithout(pool, nil, limit) }

// UseWithout is PoolUse without the upstreams at which a request can't be placed.
func (tr *Tracker) UseWithout(pool string, unsuited []string, limit int) PoolUse {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var use PoolUse
	p := tr.pools[pool]
	if p == nil {
		return use
	}
	now := tr.now()
	for _, e := range p.all {
		if slices.Contains(unsuited, e.ID) {
			continue
		}
		use.Listed++
		if e.Role != upstream.RolePrefill {
			use.Answering++
		}
		x := tr.exclusion(e, now)
		switch {
		case x.Reason == "":
			use.Usable++
			if e.Slots > 0 && e.total().Running >= e.Slots {
				use.Full++
			}
		case len(use.Excluded) < limit:
			use.Excluded = append(use.Excluded, x)
		}
	}
	return use
}

// UsableIn returns the time until an upstream of a pool may take requests again, full or not: 0 if one may now. It leaves out
// those at which a request can't be placed, and those that only prefill. ok is false if there are no others.
func (tr *Tracker) UsableIn(pool string, unsuited []string) (d time.Duration, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	p := tr.pools[pool]
	if p == nil {
		return 0, false
	}
	now := tr.now()
	for _, e := range p.all {
		if e.Role == upstream.RolePrefill || slices.Contains(unsuited, e.ID) {
			continue
		}
		h := &e.health
		left := max(0, e.unavailableUntil.Sub(now), h.backoffUntil.Sub(now), tr.waitForLimit(e))
		if !e.lastResort(now) {
			left = max(left, h.ejectedUntil.Sub(now))
		}
		if !ok || left < d {
			d, ok = left, true
		}
	}
	return d, ok
}

// exclusion returns why an upstream is excluded; the reason is empty if it isn't. tr.mu is held.
func (tr *Tracker) exclusion(e *trackedUpstream, now time.Time) Exclusion {
	x := Exclusion{ID: e.ID}
	h := &e.health
	switch limited := tr.waitForLimit(e); {
	case now.Before(e.unavailableUntil):
		x.Reason, x.Left = ExcludedUnavailable, e.unavailableUntil.Sub(now)
	case now.Before(h.backoffUntil):
		x.Reason, x.Left = ExcludedBackoff, h.backoffUntil.Sub(now)
	case limited > 0:
		x.Reason, x.Left = ExcludedLimit, limited
	case h.ejected(now):
		x.Reason, x.Since, x.Left = ExcludedEjected, now.Sub(h.lastEjected), h.ejectedUntil.Sub(now)
	case h.probing && e.probes > 0:
		x.Reason = ExcludedProbing
		if !h.probingBackoff {
			x.Since = now.Sub(h.lastEjected)
		}
	}
	return x
}
