package quarantine

import (
	"fmt"
	"time"
)

// Status is the status of a digest.
type Status uint8

// The statuses of a digest.
const (
	// Clean digests run anywhere.
	Clean Status = iota
	// Suspected digests run only where no other suspect runs.
	Suspected
	// Quarantined digests are refused.
	Quarantined
)

// Verdict is a digest's status with its reasons.
type Verdict struct {
	Status Status
	// Upstreams are those that crashed with it in flight.
	Upstreams []string
	// Strikes are the crashes since its last answer or progress.
	Strikes int
	// Remaining is how long the status lasts if nothing else happens.
	Remaining time.Duration
}

// Verdict returns a digest's verdict at a time of the local clock. The log's clock
// is assumed to have advanced since the last entry as much as the local one.
func (s *State) Verdict(d Digest, now time.Time) Verdict {
	x := s.suspects[d]
	if x == nil {
		return Verdict{}
	}
	logNow := s.logNow
	if since := now.Sub(s.readAt); since > 0 && !s.readAt.IsZero() {
		logNow = logNow.Add(since)
	}
	left := s.expiresAt(x).Sub(logNow)
	if left <= 0 {
		return Verdict{}
	}
	v := Verdict{Remaining: left, Strikes: x.strikes}
	for _, c := range x.crashes {
		v.Upstreams = append(v.Upstreams, c.Upstream)
	}
	v.Status = s.statusOf(d, x.strikes)
	if !x.quarantined.IsZero() {
		v.Status = Quarantined
	}
	return v
}

// MayRunOn reports whether a suspect may start on an upstream as far as the
// journal shows: not where another suspect runs.
func (s *State) MayRunOn(upstream string, d Digest) bool {
	r, reserved := s.reservations[upstream]
	return !reserved || r.digest == d
}

// reservedFor reports whether an upstream is reserved for a digest.
func (s *State) reservedFor(upstream string, d Digest) bool {
	r, reserved := s.reservations[upstream]
	return reserved && r.digest == d
}

// Error is the refusal of a request because upstreams crashed while it was in
// flight. Nothing was sent.
type Error struct {
	Digest  Digest
	Verdict Verdict
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	if e.Verdict.Status == Quarantined {
		return fmt.Sprintf("quarantine: not run: request %s was in flight when %d upstreams crashed; an operator may release it",
			e.Digest, len(e.Verdict.Upstreams))
	}
	return fmt.Sprintf("quarantine: not run: request %s was in flight when an upstream crashed and waits for an upstream without other suspects", e.Digest)
}
