package quarantine

import (
	"maps"
	"slices"
	"time"
)

// unconfirmedCrashes are the crashes of one digest that this process observed, or that another one
// told it of, and that it hasn't read from the journal yet.
type unconfirmedCrashes struct {
	// crashes are in the order in which they became known.
	crashes []heardCrash
	// cleared are crashes before an answer. They don't count, whoever reports them again.
	cleared []heardCrash
	// tried are those of the crashes that ended trials.
	tried []crashID
	// answered says that another process has told of a complete response.
	answered bool
	// passed is the number of crashes before the digest's last progress. They give no strikes.
	passed int
	until  time.Time
}

// maxCleared bounds the cleared crashes that are remembered of one digest, maxNamed those that the report of an
// answer names.
const (
	maxCleared = 64
	maxNamed   = maxCleared / 2
)

// heardCrash is a crash and the local time at which it became known.
type heardCrash struct {
	crashID
	at time.Time
}

// addUnconfirmed adds a crash of some time ago, which has ended a trial of the digest or not. Beyond
// MaxDigests, the digests with the fewest crashes make room.
func (g *Guard) addUnconfirmed(d Digest, c crashID, tried bool, age time.Duration) {
	until := g.now().Add(g.state.cfg.SuspectFor - age)
	if !until.After(g.now()) || g.state.freedFrom(d, c) || g.isCleared(d, c, age != 0) {
		return
	}
	if g.state.hasCrash(d, c, g.closeTo(g.now(), age != 0)) && (!tried || g.state.hasTrial(d, c)) {
		return
	}
	known := g.unconfirmedOf(d)
	if tried && !slices.Contains(known.tried, c) {
		known.tried = append(known.tried, c)
	}
	if hasHeard(known.crashes, c, g.closeTo(g.now(), age != 0)) {
		return
	}
	known.crashes = append(known.crashes, heardCrash{c, g.now()})
	if until.After(known.until) {
		known.until = until
	}
}

// unconfirmedOf returns the unconfirmed crashes of a digest to add to.
func (g *Guard) unconfirmedOf(d Digest) *unconfirmedCrashes {
	known := g.unconfirmed[d]
	if known == nil {
		if len(g.unconfirmed) >= g.state.cfg.MaxDigests {
			g.evictUnconfirmed()
		}
		known = &unconfirmedCrashes{}
		g.unconfirmed[d] = known
	}
	return known
}

// closeTo returns a function that reports whether a crash that became known at another time may be the same:
// it is if a repetition tells of it.
func (g *Guard) closeTo(at time.Time, repeated bool) func(time.Time) bool {
	return func(other time.Time) bool { return repeated || at.Sub(other).Abs() < g.state.cfg.CrashDedupWindow }
}

func hasHeard(crashes []heardCrash, c crashID, isClose func(time.Time) bool) bool {
	return slices.ContainsFunc(crashes, func(have heardCrash) bool { return have.sameAs(c, isClose(have.at)) })
}

// isCleared reports whether an answer has cleared a crash of a digest.
func (g *Guard) isCleared(d Digest, c crashID, repeated bool) bool {
	isClose := g.closeTo(g.now(), repeated)
	known := g.unconfirmed[d]
	return g.state.hasCleared(d, c, isClose) || known != nil && hasHeard(known.cleared, c, isClose)
}

// clear forgets the crashes, and those that another process has cleared.
func (u *unconfirmedCrashes) clear(others []crashID, now time.Time) {
	cleared := slices.Concat(u.cleared, u.crashes)
	for _, c := range others[:min(len(others), maxNamed)] {
		if !hasHeard(cleared, c, atAnyTime) {
			cleared = append(cleared, heardCrash{c, now})
		}
	}
	u.cleared = cleared[max(0, len(cleared)-maxCleared):]
	u.crashes, u.tried, u.passed = nil, nil, 0
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
func (u *unconfirmedCrashes) sinceProgress() []heardCrash { return u.crashes[u.passed:] }

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
		c := known.crashes[i]
		if c.Upstream != upstream || slices.Contains(known.tried, c.crashID) && !g.state.hasTrial(d, c.crashID) || known.answered && g.lacksAnswer(d) {
			continue // the journal lacks that it ended a trial, or that the request was answered
		}
		known.crashes = slices.Delete(known.crashes, i, i+1)
		if i < known.passed {
			known.passed--
		}
	}
	if len(known.crashes) == 0 && len(known.cleared) == 0 {
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
	v = g.withoutCleared(d, v)
	strikes, last := g.state.strikesOf(d, v)
	total := len(v.Upstreams)
	for i, c := range known.crashes {
		if g.state.hasCrash(d, c.crashID, g.closeTo(c.at, false)) {
			continue // the journal has it by another process's report
		}
		total++
		if i >= known.passed && c.Upstream != last {
			strikes++
			last = c.Upstream
		}
		if !slices.Contains(v.Upstreams, c.Upstream) {
			v.Upstreams = append(v.Upstreams, c.Upstream)
		}
	}
	v.Strikes = strikes
	crashed := evidence{strikes: strikes, crashes: total, trials: g.trialsOf(d), answered: g.wasAnswered(d)}
	switch {
	case g.state.judgementOf(d, crashed) == convicted:
		v.Status, v.Remaining = Quarantined, left
	case strikes > 0:
		v.Status, v.Remaining = g.state.statusOf(d, strikes), max(v.Remaining, left)
	}
	return v
}

// withoutCleared returns the journal's verdict on a suspect without the crashes that an answer is known to have
// cleared. The entry of the answer may follow theirs much later.
func (g *Guard) withoutCleared(d Digest, v Verdict) Verdict {
	if v.Strikes == 0 {
		return v
	}
	left := g.uncleared(d)
	v.Upstreams = nil
	for _, c := range left {
		v.Upstreams = append(v.Upstreams, c.Upstream)
	}
	v.Strikes = min(v.Strikes, len(left))
	v.Status = g.state.statusOf(d, v.Strikes)
	return v
}

// uncleared returns the journal's crashes of a digest that no answer is known to have cleared. The caller
// holds g.mu.
func (g *Guard) uncleared(d Digest) []crash {
	crashes, known := g.state.crashes(d), g.unconfirmed[d]
	if known == nil {
		return crashes
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool {
		return hasHeard(known.cleared, c.id(), g.closeTo(g.state.localTime(c.At), false))
	})
}

// localTime returns the local time of a log time.
func (s *State) localTime(at time.Time) time.Time { return s.readAt.Add(at.Sub(s.logNow)) }

// hasCrash reports whether the journal counts a crash against a digest. isClose judges local times.
func (s *State) hasCrash(d Digest, c crashID, isClose func(time.Time) bool) bool {
	x := s.suspects[d]
	return x != nil && findCrash(x.crashes, c, s.byLocalTime(isClose)) != nil
}

// hasCleared is hasCrash for crashes that an answer in the journal has cleared.
func (s *State) hasCleared(d Digest, c crashID, isClose func(time.Time) bool) bool {
	x := s.suspects[d]
	return x != nil && findCrash(x.cleared, c, s.byLocalTime(isClose)) != nil
}

// byLocalTime makes a function of local times one of the log's times.
func (s *State) byLocalTime(f func(time.Time) bool) func(time.Time) bool {
	return func(at time.Time) bool { return f(s.readAt.Add(at.Sub(s.logNow))) }
}

// hasTrial reports whether the journal has a crash of a known incarnation as the end of a digest's trial.
func (s *State) hasTrial(d Digest, c crashID) bool {
	x := s.suspects[d]
	return x != nil && slices.ContainsFunc(x.crashes, func(have crash) bool {
		return have.Upstream == c.Upstream && have.Incarnation == c.Incarnation && have.Tried
	})
}

// trialsOf returns how many crashes are known that ended trials of a digest. The caller holds g.mu.
func (g *Guard) trialsOf(d Digest) int {
	n := 0
	if x := g.state.suspects[d]; x != nil {
		n = x.trials()
	}
	if known := g.unconfirmed[d]; known != nil {
		for _, c := range known.tried {
			if !g.state.hasTrial(d, c) {
				n++
			}
		}
	}
	return n
}

// hasTried reports whether a crash is known here as the end of a digest's trial. The caller holds g.mu.
func (g *Guard) hasTried(d Digest, c crashID) bool {
	known := g.unconfirmed[d]
	return g.state.hasTrial(d, c) || known != nil && slices.Contains(known.tried, c)
}

// triedOf returns those of digests of which a crash has ended a trial. The caller holds g.mu.
func (g *Guard) triedOf(digests []Digest, c crashID) []Digest {
	return slices.DeleteFunc(slices.Clone(digests), func(d Digest) bool { return !g.hasTried(d, c) })
}

// freedFrom reports whether a release has undone a crash that the journal counted against a digest.
func (s *State) freedFrom(d Digest, c crashID) bool {
	r, released := s.released[d]
	return released && c.Incarnation != "" && slices.Contains(r.crashes, c)
}

// crashes returns the crashes that the journal counts against a digest.
func (s *State) crashes(d Digest) []crash {
	if x := s.suspects[d]; x != nil {
		return x.crashes
	}
	return nil
}

// crashesOf returns how many crashes the journal counts against a digest.
func (s *State) crashesOf(d Digest) int { return len(s.crashes(d)) }

// strikesOf returns the number of strikes behind a verdict and the upstream of
// the last one.
func (s *State) strikesOf(d Digest, v Verdict) (int, string) {
	if v.Strikes == 0 {
		return 0, ""
	}
	return v.Strikes, s.suspects[d].lastStrike
}
