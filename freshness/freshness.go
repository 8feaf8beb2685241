// Package freshness says how old a process's copy of a published document may be, by proofs that no
// newer version existed a while ago, and where to seek the next proof.
package freshness

import (
	"math"
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

// Limit is the age up to which a proof suffices for a purpose; 0 means that none is needed.
type Limit time.Duration

// NewLimit returns the limit for a purpose that has to end a time after a newer version is
// published; 0 means that there is no such bound.
func NewLimit(bound time.Duration) Limit {
	return Limit(float64(bound) * (1 - clockDrift))
}

// Allows reports whether a proof of some age suffices.
func (l Limit) Allows(age time.Duration) bool { return l == 0 || age < time.Duration(l) }

// Tracker tracks the latest proof for the version in force. The zero value has none.
type Tracker struct {
	mu     sync.Mutex
	latest Proof
	proven bool
	// notBefore rejects proofs by older calls.
	notBefore time.Duration
}

// Record records a proof and reports whether it is later than the former one. A proof for a
// version newer than the one in force proves nothing about that. One for an older version does:
// the version in force was published after it, and any newer one after that.
func (t *Tracker) Record(p Proof, inForce uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return p.SentAt >= t.notBefore && t.record(p, inForce)
}

// RecordPeer records another process's proof in the same way. That process has rejected proofs of its
// own by RejectBefore; its others count here even if this process's don't yet.
func (t *Tracker) RecordPeer(p Proof, inForce uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(p, inForce)
}

// record is Record without the check by RejectBefore. t.mu is held.
func (t *Tracker) record(p Proof, inForce uint64) bool {
	if p.Version > inForce || (t.proven && p.SentAt <= t.latest.SentAt) {
		return false
	}
	t.latest, t.proven = p, true
	return true
}

// RejectBefore makes Record reject proofs by calls sent before a time. A store that was restored
// from an older copy doesn't have its latest versions until they are written again.
func (t *Tracker) RejectBefore(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notBefore = max(t.notBefore, at)
}

// Latest returns the latest proof; false if there is none.
func (t *Tracker) Latest() (Proof, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest, t.proven
}

// Unproven is the age of a document of which nothing is proven.
const Unproven = time.Duration(math.MaxInt64)

// Millis returns an age in milliseconds for logs and status pages; -1 if nothing is proven.
func Millis(age time.Duration) float64 {
	if age == Unproven {
		return -1
	}
	return float64(age.Microseconds()) / 1000
}

// Age returns the age of the latest proof, Unproven if there is none.
func (t *Tracker) Age(now time.Duration) time.Duration {
	latest, proven := t.Latest()
	if !proven {
		return Unproven
	}
	return now - latest.SentAt
}
