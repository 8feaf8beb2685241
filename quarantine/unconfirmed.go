package quarantine

import (
	"slices"
	"time"
)

// unconfirmedCrashes are the crashes of one digest that this process observed and
// hasn't read from the journal yet.
type unconfirmedCrashes struct {
	// upstreams crashed in this order, without consecutive duplicates.
	upstreams []string
	until     time.Time
}

// addUnconfirmed adds a crash observed by this process.
func (g *Guard) addUnconfirmed(d Digest, upstream string) {
	crashes := g.unconfirmed[d]
	if crashes == nil {
		crashes = &unconfirmedCrashes{}
		g.unconfirmed[d] = crashes
	}
	if len(crashes.upstreams) == 0 || crashes.upstreams[len(crashes.upstreams)-1] != upstream {
		crashes.upstreams = append(crashes.upstreams, upstream)
	}
	crashes.until = g.now().Add(g.state.cfg.SuspectFor)
}

// confirm drops a crash that has been read from the journal.
func (g *Guard) confirm(d Digest, upstream string) {
	crashes := g.unconfirmed[d]
	if crashes == nil {
		return
	}
	crashes.upstreams = slices.DeleteFunc(crashes.upstreams, func(u string) bool { return u == upstream })
	if len(crashes.upstreams) == 0 {
		delete(g.unconfirmed, d)
	}
}

// verdict adds the unconfirmed crashes and counts their strikes as the journal
// would. Otherwise a process without a connection to the log would never
// quarantine a request that crashes upstreams, and its retries would crash one
// after the other.
func (g *Guard) verdict(d Digest) Verdict {
	v := g.state.Verdict(d, g.now())
	crashes := g.unconfirmed[d]
	if crashes == nil {
		return v
	}
	left := crashes.until.Sub(g.now())
	if left <= 0 {
		delete(g.unconfirmed, d)
		return v
	}
	if v.Status == Quarantined {
		return v
	}
	strikes, last := g.state.strikesOf(d, v)
	for _, u := range crashes.upstreams {
		if u != last {
			strikes++
			last = u
		}
		if !slices.Contains(v.Upstreams, u) {
			v.Upstreams = append(v.Upstreams, u)
		}
	}
	v.Status, v.Remaining = Suspected, max(v.Remaining, left)
	if strikes >= maxStrikes {
		v.Status, v.Remaining = Quarantined, left
	}
	return v
}

// strikesOf returns the number of strikes behind a verdict and the upstream of
// the last one.
func (s *State) strikesOf(d Digest, v Verdict) (int, string) {
	if v.Status == Clean {
		return 0, ""
	}
	x := s.suspects[d]
	return x.strikes, x.lastStrike
}
