package quarantine

import (
	"maps"
	"slices"
	"time"
)

// unconfirmedCrashes are the crashes of one digest that this process observed, or that another one
// told it of, and that it hasn't read from the journal yet.
type unconfirmedCrashes struct {
	// crashes are in the order in which they became known, without consecutive duplicates.
	crashes []unconfirmedCrash
	// passed is the number of crashes before the digest's last progress. They give no strikes.
	passed int
	until  time.Time
}

type unconfirmedCrash struct{ upstream, incarnation string }

// addUnconfirmed adds a crash of some time ago. Beyond MaxDigests, the digests with the fewest
// crashes make room.
func (g *Guard) addUnconfirmed(d Digest, c unconfirmedCrash, age time.Duration) {
	until := g.now().Add(g.state.cfg.SuspectFor - age)
	if !until.After(g.now()) || g.state.hasCrash(d, c) || g.state.freedFrom(d, c) {
		return
	}
	known := g.unconfirmed[d]
	if known == nil {
		if len(g.unconfirmed) >= g.state.cfg.MaxDigests {
			g.evictUnconfirmed()
		}
		known = &unconfirmedCrashes{}
		g.unconfirmed[d] = known
	}
	if known.has(c) {
		return
	}
	known.crashes = append(known.crashes, c)
	if until.After(known.until) {
		known.until = until
	}
}

// has reports whether a crash is known. Without an incarnation, an upstream that crashes again
// after another one has crashed anew.
func (u *unconfirmedCrashes) has(c unconfirmedCrash) bool {
	if c.incarnation != "" {
		return slices.Contains(u.crashes, c)
	}
	n := len(u.crashes)
	return n > 0 && u.crashes[n-1] == c
}

// evictUnconfirmed drops what has expired and, if that isn't enough, the digests with the fewest
// crashes.
func (g *Guard) evictUnconfirmed() {
	now := g.now()
	maps.DeleteFunc(g.unconfirmed, func(_ Digest, u *unconfirmedCrashes) bool { return !u.until.After(now) })
	for few := 1; len(g.unconfirmed) >= g.state.cfg.MaxDigests; few++ {
		maps.DeleteFunc(g.unconfirmed, func(_ Digest, u *unconfirmedCrashes) bool { return len(u.crashes) <= few })
	}
}

// sinceProgress returns the crashes since the digest's last progress.
func (u *unconfirmedCrashes) sinceProgress() []unconfirmedCrash { return u.crashes[u.passed:] }

// markProgress records that a digest came further than when it was in flight at the known crashes.
func (g *Guard) markProgress(d Digest) {
	if known := g.unconfirmed[d]; known != nil {
		known.passed = len(known.crashes)
	}
}

// confirm drops a crash that has been read from the journal.
func (g *Guard) confirm(d Digest, upstream string) {
	known := g.unconfirmed[d]
	if known == nil {
		return
	}
	for i := len(known.crashes) - 1; i >= 0; i-- {
		if known.crashes[i].upstream != upstream {
			continue
		}
		known.crashes = slices.Delete(known.crashes, i, i+1)
		if i < known.passed {
			known.passed--
		}
	}
	if len(known.crashes) == 0 {
		delete(g.unconfirmed, d)
	}
}

// verdict adds the unconfirmed crashes and counts their strikes as the journal
// would. Otherwise a process without a connection to the log would never
// quarantine a request that crashes upstreams, and its retries would crash one
// after the other.
func (g *Guard) verdict(d Digest) Verdict {
	v := g.state.Verdict(d, g.now())
	known := g.unconfirmed[d]
	if known == nil || v.Status == Quarantined {
		return v
	}
	left := known.until.Sub(g.now())
	if left <= 0 {
		delete(g.unconfirmed, d)
		return v
	}
	strikes, last := g.state.strikesOf(d, v)
	total := len(v.Upstreams)
	for i, c := range known.crashes {
		if g.state.hasCrash(d, c) {
			continue // the journal has it by another process's report
		}
		total++
		if i >= known.passed && c.upstream != last {
			strikes++
			last = c.upstream
		}
		if !slices.Contains(v.Upstreams, c.upstream) {
			v.Upstreams = append(v.Upstreams, c.upstream)
		}
	}
	v.Strikes = strikes
	switch {
	case g.state.exceedsLimits(d, strikes, total):
		v.Status, v.Remaining = Quarantined, left
	case strikes > 0:
		v.Status, v.Remaining = g.state.statusOf(d, strikes), max(v.Remaining, left)
	}
	return v
}

// hasCrash reports whether the journal counts a crash of a known incarnation against a digest.
func (s *State) hasCrash(d Digest, c unconfirmedCrash) bool {
	x := s.suspects[d]
	if x == nil || c.incarnation == "" {
		return false
	}
	return slices.ContainsFunc(x.crashes, func(have crash) bool {
		return have.Upstream == c.upstream && have.Incarnation == c.incarnation
	})
}

// freedFrom reports whether a release has undone a crash that the journal counted against a digest.
func (s *State) freedFrom(d Digest, c unconfirmedCrash) bool {
	r, released := s.released[d]
	return released && c.incarnation != "" && slices.Contains(r.crashes, c)
}

// crashesOf returns how many crashes the journal counts against a digest.
func (s *State) crashesOf(d Digest) int {
	if x := s.suspects[d]; x != nil {
		return len(x.crashes)
	}
	return 0
}

// strikesOf returns the number of strikes behind a verdict and the upstream of
// the last one.
func (s *State) strikesOf(d Digest, v Verdict) (int, string) {
	if v.Strikes == 0 {
		return 0, ""
	}
	x := s.suspects[d]
	return x.strikes, x.lastStrike
}
