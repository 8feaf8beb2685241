package quarantine

import (
	"fmt"
	"time"
)

// Status is what a digest is taken for.
type Status uint8

// The standings of a digest.
const (
	// Clean digests run anywhere.
	Clean Status = iota
	// Suspected digests run only where no other suspect runs.
	Suspected
	// Quarantined digests don't run.
	Quarantined
)

// Verdict is a digest's standing, with its reasons.
type Verdict struct {
	Status Status
	// Upstreams are those that died with it in flight.
	Upstreams []string
	// Remaining is how long the standing lasts if nothing else happens.
	Remaining time.Duration
}

// Verdict returns a digest's standing at a time of the reader's own clock. The
// log's clock is taken to have moved on since the last entry as ours has.
func (s *State) Verdict(d Digest, now time.Time) Verdict {
	x := s.suspects[d]
	if x == nil {
		return Verdict{}
	}
	logNow := s.logNow
	if since := now.Sub(s.readAt); since > 0 && !s.readAt.IsZero() {
		logNow = logNow.Add(since)
	}
	left := s.ends(x).Sub(logNow)
	if left <= 0 {
		return Verdict{}
	}
	v := Verdict{Remaining: left}
	for _, c := range x.crashes {
		v.Upstreams = append(v.Upstreams, c.Upstream)
	}
	switch {
	case !x.quarantined.IsZero():
		v.Status = Quarantined
	case x.strikes > 0:
		v.Status = Suspected
	}
	return v
}

// MayRunOn reports whether a digest may start on an upstream as far as the
// journal tells: a suspect not where another suspect runs.
func (s *State) MayRunOn(upstream string, d Digest) bool {
	h, held := s.holds[upstream]
	return !held || h.digest == d
}

// holds reports whether a digest has an upstream to itself.
func (s *State) heldBy(upstream string, d Digest) bool {
	h, held := s.holds[upstream]
	return held && h.digest == d
}

// Error is the refusal of a request that isn't run now because of what it did
// to upstreams. Nothing was sent.
type Error struct {
	Digest  Digest
	Verdict Verdict
	// RetryAfter is when a repeat may succeed.
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	if e.Verdict.Status == Quarantined {
		return fmt.Sprintf("quarantine: not run: request %s was in flight when %d upstreams crashed; an operator may release it",
			e.Digest, len(e.Verdict.Upstreams))
	}
	return fmt.Sprintf("quarantine: not run: request %s was in flight when an upstream crashed and waits for one of its own", e.Digest)
}
