package quarantine

import (
	"slices"
	"time"
)

// ownCrashes are the crashes of one digest that this process saw and hasn't read
// in the journal yet.
type ownCrashes struct {
	// upstreams died in this order, each named once in a row.
	upstreams []string
	until     time.Time
}

// noteOwn adds a crash seen here.
func (g *Guard) noteOwn(d Digest, upstream string) {
	own := g.own[d]
	if own == nil {
		own = &ownCrashes{}
		g.own[d] = own
	}
	if len(own.upstreams) == 0 || own.upstreams[len(own.upstreams)-1] != upstream {
		own.upstreams = append(own.upstreams, upstream)
	}
	own.until = g.now().Add(g.state.cfg.SuspectFor)
}

// readBack drops a crash that the journal tells of now.
func (g *Guard) readBack(d Digest, upstream string) {
	own := g.own[d]
	if own == nil {
		return
	}
	own.upstreams = slices.DeleteFunc(own.upstreams, func(u string) bool { return u == upstream })
	if len(own.upstreams) == 0 {
		delete(g.own, d)
	}
}

// verdict adds the crashes that only this process knows of so far, and counts them
// as the journal would. Without that count a process cut off from the log suspects
// a poisonous request for ever: it retries it on one upstream after the other, and
// each dies.
func (g *Guard) verdict(d Digest) Verdict {
	v := g.state.Verdict(d, g.now())
	own := g.own[d]
	if own == nil {
		return v
	}
	left := own.until.Sub(g.now())
	if left <= 0 {
		delete(g.own, d)
		return v
	}
	if v.Status == Quarantined {
		return v
	}
	strikes, last := g.state.strikesOf(d, v)
	for _, u := range own.upstreams {
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

// strikesOf returns the strikes behind a verdict and the upstream of the last.
func (s *State) strikesOf(d Digest, v Verdict) (int, string) {
	if v.Status == Clean {
		return 0, ""
	}
	x := s.suspects[d]
	return x.strikes, x.lastStrike
}
