package quarantine

import (
	"slices"
	"strings"
)

// heads are the first halves of the digests that a guard knows. They are immutable.
type heads map[uint64]struct{}

// Knows reports whether a request may be suspected or quarantined. It costs little: where it
// returns false, the whole digest need not be computed.
func (g *Guard) Knows(r *Request) bool {
	known := g.heads.Load()
	if known == nil || len(*known) == 0 {
		return false
	}
	_, ok := (*known)[r.Head()]
	return ok
}

// updateHeads follows a change of the known digests. The caller holds g.mu.
func (g *Guard) updateHeads() {
	known := make(heads, len(g.state.suspects)+len(g.unconfirmed))
	for d := range g.state.suspects {
		known[d.A] = struct{}{}
	}
	for d := range g.unconfirmed {
		known[d.A] = struct{}{}
	}
	g.heads.Store(&known)
	g.fingerprint.Store(fingerprintOf(g.worthKnowing()))
}

// Listed is a suspected or quarantined digest.
type Listed struct {
	Digest  Digest
	Verdict Verdict
}

// List returns the suspected and quarantined digests, ordered by digest.
func (g *Guard) List() []Listed {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdicts := map[Digest]Verdict{}
	for d := range g.state.suspects {
		verdicts[d] = g.verdict(d)
	}
	for d := range g.unconfirmed {
		verdicts[d] = g.verdict(d)
	}
	var all []Listed
	for d, v := range verdicts {
		if v.Status != Clean {
			all = append(all, Listed{d, v})
		}
	}
	slices.SortFunc(all, func(a, b Listed) int { return strings.Compare(a.Digest.String(), b.Digest.String()) })
	return all
}
