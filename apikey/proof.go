package apikey

import (
	"sync"
	"time"
)

// Proof says that no version newer than Version existed at SentAt.
type Proof struct {
	Version uint64
	// SentAt is when the call was sent whose response proved it, by a clock that doesn't
	// stand still while the machine is suspended. The time of the response would be too late:
	// a version may have been published while it was on its way.
	SentAt time.Duration
}

// clockDrift is the largest relative difference between the rates of two clocks.
const clockDrift = 0.01

// Freshness tracks the latest proof for the version in force. The zero value has no proof and
// no limit.
type Freshness struct {
	mu     sync.Mutex
	limit  time.Duration
	latest Proof
	proven bool
	// notBefore rejects proofs by older calls.
	notBefore time.Duration
}

// NewFreshness returns a Freshness for keys that must not be used later than bound after their
// removal; 0 means that there is no such bound.
func NewFreshness(bound time.Duration) *Freshness {
	return &Freshness{limit: time.Duration(float64(bound) * (1 - clockDrift))}
}

// Limit returns the age of a proof up to which keys may be used; 0 means any age.
func (f *Freshness) Limit() time.Duration { return f.limit }

// Record records a proof and reports whether it is later than the former one. A proof for a
// version newer than the one in force proves nothing about that. One for an older version does:
// the version in force was published after it, and any newer one after that.
func (f *Freshness) Record(p Proof, inForce uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return p.SentAt >= f.notBefore && f.record(p, inForce)
}

// RecordPeer records another daemon's proof in the same way. That daemon has rejected proofs of its
// own by RejectBefore; its others count here even if this daemon's don't yet.
func (f *Freshness) RecordPeer(p Proof, inForce uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record(p, inForce)
}

// record is Record without the check by RejectBefore. f.mu is held.
func (f *Freshness) record(p Proof, inForce uint64) bool {
	if p.Version > inForce || (f.proven && p.SentAt <= f.latest.SentAt) {
		return false
	}
	f.latest, f.proven = p, true
	return true
}

// RejectBefore makes Record reject proofs by calls sent before a time. A store that was restored
// from an older copy doesn't have its latest versions until they are written again.
func (f *Freshness) RejectBefore(t time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notBefore = max(f.notBefore, t)
}

// Latest returns the latest proof; false if there is none.
func (f *Freshness) Latest() (Proof, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest, f.proven
}

// MayUse reports whether keys of the version in force may be used at a time.
func (f *Freshness) MayUse(now time.Duration) bool {
	return f.limit == 0 || f.Remaining(now) > 0
}

// Remaining returns how long keys may be used without another proof; 0 if they may not.
func (f *Freshness) Remaining(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.proven {
		return 0
	}
	return max(0, f.limit-(now-f.latest.SentAt))
}
