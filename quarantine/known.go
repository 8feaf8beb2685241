package quarantine

import (
	"slices"
	"strings"
)

// index summarises what a guard knows. It is immutable.
type index struct {
	// heads are the first halves of the known digests.
	heads map[uint64]struct{}
	// fingerprint identifies what Reports tells.
	fingerprint uint64
}

// Knows reports whether a request may be suspected or quarantined. It costs little: where it
// returns false, the whole digest need not be computed.
func (g *Guard) Knows(r *Request) bool {
	known := g.currentIndex().heads
	if len(known) == 0 {
		return false
	}
	if _, ok := known[r.Head()]; ok {
		return true
	}
	for _, id := range r.Parts {
		if _, ok := known[PartDigest(r.Pool, r.Model, id).A]; ok {
			return true
		}
	}
	return false
}

// Fingerprint returns a number that is the same in processes whose Reports tell the same.
func (g *Guard) Fingerprint() uint64 { return g.currentIndex().fingerprint }

// changed drops the index after a change of what is known. The next look builds it anew, so that
// many changes at once, as at a start, cost one.
// The caller holds g.mu.
func (g *Guard) changed() {
	g.index.Store(nil)
	g.notify()
}

func (g *Guard) currentIndex() *index {
	if current := g.index.Load(); current != nil {
		return current
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	built := &index{heads: make(map[uint64]struct{}, len(g.state.suspects)+len(g.unconfirmed))}
	for d, x := range g.state.suspects {
		if len(x.crashes) > 0 {
			built.heads[d.A] = struct{}{}
		}
	}
	for d, u := range g.unconfirmed {
		if len(u.crashes) > 0 {
			built.heads[d.A] = struct{}{}
		}
	}
	built.fingerprint = g.fingerprintOf(g.worthKnowing())
	g.index.Store(built)
	return built
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
