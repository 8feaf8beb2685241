package quarantine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"tamarackchute/internal/codec"
	"tamarackchute/journal"
)

// maxHeard bounds the IDs of reports that are remembered to recognise copies.
const maxHeard = 8192

// Publish sets the function that passes this process's reports on to other processes, and one that
// reports whether it reaches them all. While it does, the journal only gets what has to outlive the
// processes: not the many that were in flight at one crash. Both must be set before the first report
// and must not block.
func (g *Guard) Publish(f func(journal.Entry), reachesAll func() bool) {
	g.publish, g.reachesAll = f, reachesAll
}

// Hear processes a report that another process has passed on. It returns false for a copy of a
// known one, which needn't be passed on again.
func (g *Guard) Hear(e journal.Entry) bool {
	var m message
	if e.Kind != g.kind || codec.Unmarshal(e.Body, &m) != nil {
		return false
	}
	if !g.hearFirst(e.ID) {
		return false
	}
	if g.hearOfClaim(m, e.Writer) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed()
	switch {
	case m.Crash != nil:
		for _, d := range m.Crash.Suspects {
			g.addUnconfirmed(d, m.Crash.id(), slices.Contains(m.Crash.Tried, d), m.Crash.Age)
		}
		g.markAnswered(m.Crash.Answered)
	case m.Completed != nil:
		g.forgetSuspect(m.Completed.Digest, m.Completed.Crashes, e.Writer)
	case m.IsolationEnd != nil && m.IsolationEnd.Passed:
		g.markProgress(m.IsolationEnd.Digest)
	case m.Release != nil:
		delete(g.unconfirmed, m.Release.Digest)
	}
	return true
}

// hearFirst is markHeard for callers that don't hold g.mu.
func (g *Guard) hearFirst(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.markHeard(id)
}

// markHeard remembers the ID of a report, and returns false if it is known. The caller holds g.mu.
func (g *Guard) markHeard(id string) bool {
	if g.heard.Contains(id) {
		return false
	}
	g.heard.Add(id, struct{}{})
	return true
}

// reportCrash passes a crash on to other processes. The returned function appends it to the journal,
// or what is likely of it.
func (g *Guard) reportCrash(c *Crash) func(context.Context) error {
	e := entryOf(g.kind, uuid.NewString(), g.writer, message{Crash: c})
	reached := g.pass(e)
	return func(ctx context.Context) error {
		if !reached {
			return g.persist(ctx, e)
		}
		return g.persistAll(ctx, g.likely(c.Suspects))
	}
}

// pass passes an entry on, and reports whether it reaches all other processes.
func (g *Guard) pass(e journal.Entry) bool {
	if g.publish == nil {
		return false
	}
	g.hearFirst(e.ID)
	g.publish(e)
	return g.reachesAll()
}

// persist appends an entry to the journal, or queues it if that fails.
func (g *Guard) persist(ctx context.Context, e journal.Entry) error {
	_, err := g.journal.Append(ctx, e)
	if err != nil {
		g.enqueue(e)
	}
	return err
}

func (g *Guard) persistAll(ctx context.Context, entries []journal.Entry) error {
	var all error
	for _, e := range entries {
		all = errors.Join(all, g.persist(ctx, e))
	}
	return all
}

// likely returns reports of the crashes that the journal lacks, of those digests that were in
// flight at more than one since their last progress.
func (g *Guard) likely(digests []Digest) []journal.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	byCrash := map[crashID][]Digest{}
	for _, d := range digests {
		known := g.unconfirmed[d]
		if known == nil || len(known.sinceProgress())+g.state.crashesOf(d) < g.worthJournaling(d) {
			continue
		}
		for _, c := range known.sinceProgress() {
			journaled := g.state.hasCrash(d, c.crashID, g.closeTo(c.at, false))
			if !journaled || slices.Contains(known.tried, c.crashID) && !g.state.hasTrial(d, c.crashID) || g.lacksAnswer(d) {
				byCrash[c.crashID] = append(byCrash[c.crashID], d)
			}
		}
	}
	var all []journal.Entry
	for c, suspects := range byCrash {
		// Processes that report the same write the same ID, so that it counts once.
		tried, answered := g.triedOf(suspects, c), g.answeredOf(suspects)
		id := fmt.Sprintf("quarantine/crash/%s/%x/%x/%x", c.Upstream, fingerprintOfDigests(suspects), fingerprintOfDigests(tried), fingerprintOfDigests(answered))
		crash := &Crash{Upstream: c.Upstream, Incarnation: c.Incarnation, Suspects: suspects, Tried: tried, Answered: answered}
		all = append(all, entryOf(g.kind, id, g.writer, message{Crash: crash}))
	}
	return all
}

// worthJournaling is the number of crashes from which a digest is written to the journal. Of a part that
// many requests have, an answer may be on its way after two.
func (g *Guard) worthJournaling(d Digest) int {
	if d.IsPart() {
		return g.state.cfg.PartTrialStrikes
	}
	return worthKeeping
}

func fingerprintOfDigests(digests []Digest) uint64 {
	sum := uint64(0)
	for _, d := range digests {
		sum ^= xxhash.Sum64String(d.String())
	}
	return sum
}

// unconfirmedDigests returns the digests of which other processes have told something that the
// journal lacks.
func (g *Guard) unconfirmedDigests() []Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.unconfirmed))
}

// Reports returns reports of what a process needs to know that has heard of no crash: the crashes
// behind the quarantined digests and the likely ones. They aren't in the journal in this form.
func (g *Guard) Reports() []journal.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []journal.Entry
	for d, crashes := range g.worthKnowing() {
		for c := range crashes {
			m := message{Crash: &Crash{
				Upstream: c.Upstream, Incarnation: c.Incarnation, Suspects: []Digest{d}, Tried: g.triedOf([]Digest{d}, c),
				Answered: g.answeredOf([]Digest{d}), Age: g.age(d),
			}}
			all = append(all, entryOf(g.kind, uuid.NewString(), g.writer, m))
		}
	}
	return all
}

// fingerprintOf combines crashes in a way that doesn't depend on their order. The caller holds g.mu.
func (g *Guard) fingerprintOf(known map[Digest]map[crashID]struct{}) uint64 {
	sum := uint64(0)
	for d, crashes := range known {
		for c := range crashes {
			sum ^= xxhash.Sum64String(d.String() + c.Upstream)
			if g.hasTried(d, c) {
				sum ^= xxhash.Sum64String(d.String() + c.Upstream + " tried")
			}
		}
	}
	return sum
}

// worthKnowing returns the counted crashes of the digests that are more than one of many that were
// in flight at a crash.
func (g *Guard) worthKnowing() map[Digest]map[crashID]struct{} {
	all := map[Digest]map[crashID]struct{}{}
	for d := range g.state.suspects {
		g.addWorthKnowing(all, d)
	}
	for d := range g.unconfirmed {
		g.addWorthKnowing(all, d)
	}
	return all
}

func (g *Guard) addWorthKnowing(all map[Digest]map[crashID]struct{}, d Digest) {
	if all[d] != nil || g.verdict(d).Strikes == 0 {
		return
	}
	crashes := map[crashID]struct{}{}
	if x := g.state.suspects[d]; x != nil {
		for _, c := range x.counted() {
			crashes[c.id()] = struct{}{}
		}
	}
	if known := g.unconfirmed[d]; known != nil {
		for _, c := range known.sinceProgress() {
			crashes[c.crashID] = struct{}{}
		}
	}
	if len(crashes) >= worthKeeping {
		all[d] = crashes
	}
}

// maxTransit is taken off what is left of a repeated report, so that no repetition prolongs it.
const maxTransit = time.Second

// age returns the age of a crash from which a suspicion would last as long as the digest's status
// does. It is negative for a new quarantine, which lasts longer.
func (g *Guard) age(d Digest) time.Duration {
	return g.state.cfg.SuspectFor - g.verdict(d).Remaining + maxTransit
}

// forgetSuspect clears the unconfirmed crashes of a digest that got a complete response, and those that the
// process knew of that reports it. A quarantined digest stays: the response is one of a run that began before.
func (g *Guard) forgetSuspect(d Digest, others []crashID, writer string) {
	v := g.verdict(d)
	if v.Status == Quarantined || g.unconfirmed[d] == nil && len(others) == 0 {
		return
	}
	if v.Strikes > 0 && g.observeCleared != nil {
		g.observeCleared(Cleared{Digest: d, Strikes: v.Strikes, Writer: writer})
	}
	known := g.unconfirmedOf(d)
	known.clear(others, g.now())
	known.until = g.now().Add(g.state.cfg.SuspectFor)
	known.answered = true
}

// knownCrashes returns the crashes of a digest since its last answer. The caller holds g.mu.
func (g *Guard) knownCrashes(d Digest) []crashID {
	var all []crashID
	for _, c := range g.uncleared(d) {
		all = append(all, c.id())
	}
	if known := g.unconfirmed[d]; known != nil {
		for _, c := range known.crashes {
			all = append(all, c.crashID)
		}
	}
	return all[max(0, len(all)-maxNamed):]
}

// Progressed reports that a run of a suspect came further than the one that made it a suspect. The
// report is in the journal when it returns, or will be retried by Serve.
func (g *Guard) Progressed(ctx context.Context, d Digest) error {
	return g.exonerate(ctx, d, func(v Verdict) (message, bool) {
		if v.Strikes == 0 {
			return message{}, false
		}
		g.markProgress(d)
		return message{IsolationEnd: &isolationEnd{Digest: d, Passed: true}}, true
	})
}

// Answered reports that a suspect that isn't isolated got a complete response. It clears all its crashes,
// those before its last progress too.
func (g *Guard) Answered(ctx context.Context, d Digest) error {
	return g.exonerate(ctx, d, func(Verdict) (message, bool) {
		crashes := g.knownCrashes(d)
		if len(crashes) == 0 {
			return message{}, false
		}
		g.forgetSuspect(d, crashes, g.writer)
		return message{Completed: &completed{d, crashes}}, true
	})
}

// exonerate clears a suspect here and reports that. forgive returns the report, and whether there is one.
func (g *Guard) exonerate(ctx context.Context, d Digest, forgive func(Verdict) (message, bool)) error {
	m, journaled, ok := g.forgive(d, forgive)
	if !ok {
		return nil
	}
	e := entryOf(g.kind, uuid.NewString(), g.writer, m)
	if g.pass(e) && !journaled {
		return nil
	}
	return g.persist(ctx, e)
}

// forgive is exonerate but for the report. journaled says that the journal may have crashes of the digest.
func (g *Guard) forgive(d Digest, forgive func(Verdict) (message, bool)) (m message, journaled, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.verdict(d)
	if v.Status == Quarantined {
		return m, false, false
	}
	// The crashes may have been written and not been read yet.
	journaled = g.state.crashesOf(d) > 0 || v.Strikes >= worthKeeping
	m, ok = forgive(v)
	if ok {
		g.changed()
	}
	return m, journaled, ok
}
