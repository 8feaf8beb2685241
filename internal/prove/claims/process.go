package claims

import (
	"fmt"
	"time"

	"tamarackchute/claim"
	"tamarackchute/infra"
	"tamarackchute/journal"
)

// process is one instance's process: the real core, with a reader, a writer
// and calls whose steps are taken when the scheduler says so.
type process struct {
	world       *world
	index       int
	incarnation int
	name        string
	core        *claim.Core
	next        infra.Offset
	logUp       bool
	appends     []*pendingAppend
	calls       []*call
	dead        bool
	pausedUntil time.Time
}

// pendingAppend is an entry that the process wants in the log.
type pendingAppend struct {
	entry  journal.Entry
	since  time.Time
	sent   bool // may be in the log
	folded bool // the own reader has seen it
	// call is set for a claim, message for an outcome or a withdrawal.
	call    *call
	message *claim.Message
}

// start runs a new incarnation, with empty memory.
func (p *process) start() {
	w := p.world
	p.incarnation++
	p.name = fmt.Sprintf("p%d/%d", p.index, p.incarnation)
	cfg := config
	cfg.Writer = p.name
	p.core = claim.NewCore(cfg, w.now)
	p.core.NewAttempt = w.newAttempt
	p.next, p.logUp, p.dead = 1, true, false
	p.appends, p.calls = nil, nil
}

func (p *process) running() bool { return !p.dead && !p.world.now.Before(p.pausedUntil) }

func (p *process) env() claim.Env { return claim.Env{Now: p.world.now, LogUp: p.logUp} }

// act does one thing.
func (p *process) act() {
	w := p.world
	switch n := w.rng.IntN(100); {
	case n < 30:
		p.read(1 + w.rng.IntN(4))
	case n < 55:
		p.send()
	case n < 75:
		p.resolve(pick(w, p.appends))
	case n < 97:
		if c := pick(w, p.calls); c != nil {
			c.advance()
		}
	default:
		p.checkpoint()
	}
}

// actAll does all that can be done.
func (p *process) actAll() {
	p.read(1 << 20)
	for range 4 {
		p.send()
	}
	p.read(1 << 20)
	for _, a := range append([]*pendingAppend(nil), p.appends...) {
		p.resolve(a)
	}
	for _, c := range append([]*call(nil), p.calls...) {
		c.advance()
	}
	p.checkpoint()
}

// read folds up to n records.
func (p *process) read(n int) {
	w := p.world
	p.logUp = !w.log.down
	if w.log.down {
		return
	}
	if p.next < w.log.oldest {
		p.next = w.log.oldest
		w.report.Event("reader met expired records")
		if w.mutant != trustAfterExpiry {
			p.core.Trimmed(p.next)
		}
		p.changed()
	}
	for ; n > 0 && p.next < w.log.next(); n-- {
		p.fold(w.log.records[p.next-1])
	}
}

func (p *process) fold(r logRecord) {
	w := p.world
	for i, e := range r.entries {
		at := journal.Position{Offset: p.next, Index: uint16(i)}
		p.core.Apply(journal.LogEntry{Position: at, At: r.at, ReadAt: w.now, Entry: e})
		for _, a := range p.appends {
			a.folded = a.folded || a.entry.ID == e.ID
		}
		p.changed()
	}
	p.next++
	w.checkAgreement(p)
}

// changed hands on what the core asks for beside its steps.
func (p *process) changed() {
	for _, id := range p.core.Changed() {
		for _, c := range p.calls {
			c.woken = c.woken || c.id == id
		}
	}
	for _, m := range p.core.Outbox() {
		p.queue(&pendingAppend{entry: m.Entry, message: &m})
	}
}

func (p *process) queue(a *pendingAppend) {
	if a.entry.Writer == "" {
		a.entry.Writer = p.name
	}
	a.since = p.world.now
	p.appends = append(p.appends, a)
}

// send appends some of the waiting entries as one record. An entry that was
// sent before may be sent again: the journal does that after a lost reply.
func (p *process) send() {
	w := p.world
	var batch []*pendingAppend
	var entries []journal.Entry
	for _, a := range p.appends {
		if a.folded || (a.sent && !w.chance(20)) || (!w.calm && w.chance(30)) {
			continue
		}
		batch = append(batch, a)
		entries = append(entries, a.entry)
	}
	if len(batch) == 0 {
		return
	}
	if len(batch) > 1 {
		w.report.Event("entries shared an append")
	}
	refused := w.log.append(w, entries) == fateRefused
	for _, a := range batch {
		a.sent = a.sent || !refused
	}
}

// resolve ends an append whose entry was read, or whose time is up.
func (p *process) resolve(a *pendingAppend) {
	if a == nil {
		return
	}
	timeUp := p.world.now.Sub(a.since) >= config.ClaimTimeout || (a.call != nil && a.call.gaveUp)
	if !a.folded && !timeUp {
		return
	}
	if a.call != nil {
		p.resolveClaim(a)
		return
	}
	if a.message == nil {
		p.drop(a)
		return
	}
	// Outcomes and withdrawals are tried for longer than claims.
	if a.folded || p.world.now.Sub(a.since) > 20*config.ClaimTimeout {
		p.drop(a)
		p.core.Sent(*a.message)
		p.changed()
	}
}

func (p *process) resolveClaim(a *pendingAppend) {
	result := claim.AppendUnclear
	switch {
	case a.folded:
		result = claim.Appended
	case !a.sent:
		result = claim.NotAppended
	case p.world.mutant == refuseWithoutLatch:
		a.call.answer(claim.NotRun{Reason: claim.ReasonClaimUnclear})
		return
	default:
		p.world.report.Event("claim unclear at its timeout")
	}
	p.drop(a)
	a.call.claimed(result)
}

func (p *process) drop(a *pendingAppend) {
	for i := range p.appends {
		if p.appends[i] == a {
			p.appends = append(p.appends[:i], p.appends[i+1:]...)
			return
		}
	}
}

// checkpoint appends a checkpoint if one is due, and now and then anyway.
func (p *process) checkpoint() {
	w := p.world
	due := p.core.CheckpointDue(w.now, w.now)
	if !due && (w.calm || !p.core.Ledger().Complete() || !w.chance(20)) {
		return
	}
	for _, a := range p.appends {
		if a.call == nil && a.message == nil {
			return // one is under way
		}
	}
	applied := journal.Position{Offset: p.next - 1}
	if w.mutant == checkpointTooFar {
		applied.Offset = w.log.next() - 1
	}
	for _, e := range p.core.Checkpoint(applied) {
		p.queue(&pendingAppend{entry: e})
	}
	w.report.Event("checkpoint begun")
}
