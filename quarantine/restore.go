package quarantine

import (
	"time"

	"github.com/google/uuid"

	"tamarackchute/journal"
)

// Restored begins again after the journal was restored from an older copy, whose records will be
// applied once more. What this process knows stays in force as unconfirmed, and, if this process
// writes checkpoints, is reported again: the copy may lack it. It requires that crashes are reported
// with incarnations, by which a repeated report is recognised.
func (g *Guard) Restored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	byUpstream, tried, answered := map[crashID][]Digest{}, map[crashID][]Digest{}, map[crashID][]Digest{}
	var kept []keptCrash
	for d, x := range g.state.suspects {
		for _, c := range x.counted() {
			crash := c.id()
			byUpstream[crash] = append(byUpstream[crash], d)
			kept = append(kept, keptCrash{d, crash, c.Tried, x.answered, g.age(d)})
			if c.Tried {
				tried[crash] = append(tried[crash], d)
			}
			if x.answered {
				answered[crash] = append(answered[crash], d)
			}
		}
	}
	releases := g.state.released
	g.state = NewState(g.state.cfg)
	for _, k := range kept {
		g.addUnconfirmed(k.digest, k.crash, k.tried, k.age)
		if k.answered {
			g.markAnswered([]Digest{k.digest})
		}
	}
	g.changed()
	if !g.writesCheckpoints() {
		return
	}
	for c, digests := range byUpstream {
		g.enqueueLocked(message{Crash: &Crash{Upstream: c.Upstream, Incarnation: c.Incarnation, Suspects: digests, Tried: tried[c], Answered: answered[c]}})
	}
	for _, r := range releases { // after the crashes, which they undo
		release := r.release
		g.enqueueLocked(message{Release: &Release{Digest: release.Digest, Operator: release.Operator, Reason: release.Reason}})
	}
}

// keptCrash is a crash that stays known across a restore.
type keptCrash struct {
	digest          Digest
	crash           crashID
	tried, answered bool
	age             time.Duration
}

// counted returns the crashes that count against the digest: all of a quarantined one, and of a
// suspect those since its last progress.
func (x *suspect) counted() []crash {
	if !x.quarantined.IsZero() {
		return x.crashes
	}
	return x.crashes[len(x.crashes)-min(x.strikes, len(x.crashes)):]
}

// enqueueLocked queues an entry for Serve. The caller holds g.mu.
func (g *Guard) enqueueLocked(m message) {
	g.addPending(entryOf(g.kind, uuid.NewString(), g.writer, m))
}

func (g *Guard) addPending(e journal.Entry) {
	if len(g.pending) == maxPending {
		g.pending = append(g.pending[:0], g.pending[1:]...)
	}
	g.pending = append(g.pending, e)
}
