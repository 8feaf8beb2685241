package claims

import (
	"fmt"
	"time"

	"tamarackchute/claim"
	"tamarackchute/infra"
	"tamarackchute/journal"
)

// process simulates one instance's process: the production core with a reader, a writer and
// calls, whose steps run when the scheduler selects them.
type process struct {
	world       *world
	index       int
	incarnation int
	name        string
	core        *claim.Core
	nextOffset  infra.Offset
	logUp       bool
	appends     []*pendingAppend
	calls       []*call
	killed      bool
	pausedUntil time.Time
}

// pendingAppend is an entry that the process wants to append to the log.
type pendingAppend struct {
	entry   journal.Entry
	since   time.Time
	sent    bool // may be in the log
	applied bool // read back by this process
	// call is set for a claim, message for an outcome or a withdrawal.
	call    *call
	message *claim.Message
}

// start begins a new incarnation with empty memory.
func (p *process) start() {
	w := p.world
	p.incarnation++
	p.name = fmt.Sprintf("p%d/%d", p.index, p.incarnation)
	cfg := config
	cfg.Writer = p.name
	p.core = claim.NewCore(cfg, w.now)
	p.core.NewAttempt = w.newAttempt
	p.nextOffset, p.logUp, p.killed = 1, true, false
	p.appends, p.calls = nil, nil
}

func (p *process) running() bool { return !p.killed && !p.world.now.Before(p.pausedUntil) }

func (p *process) env() claim.Env { return claim.Env{Now: p.world.now, LogUp: p.logUp} }

// step performs one random action.
func (p *process) step() {
	w := p.world
	switch n := w.rng.IntN(100); {
	case n < 30:
		p.read(1 + w.rng.IntN(4))
	case n < 55:
		p.flush()
	case n < 75:
		p.completeAppend(pick(w, p.appends))
	case n < 97:
		if c := pick(w, p.calls); c != nil {
			c.advance()
		}
	default:
		p.checkpoint()
	}
}

// stepAll performs all pending work.
func (p *process) stepAll() {
	p.read(1 << 20)
	for range 4 {
		p.flush()
	}
	p.read(1 << 20)
	for _, a := range append([]*pendingAppend(nil), p.appends...) {
		p.completeAppend(a)
	}
	for _, c := range append([]*call(nil), p.calls...) {
		c.advance()
	}
	p.checkpoint()
}

// read applies up to n records.
func (p *process) read(n int) {
	w := p.world
	p.logUp = !w.log.down
	if w.log.down {
		return
	}
	if p.nextOffset < w.log.oldest {
		p.nextOffset = w.log.oldest
		w.report.Event("reader found expired records")
		if w.mutant != mutantTrustAfterExpiry {
			p.core.Trimmed(p.nextOffset)
		}
		p.collectOutput()
	}
	for ; n > 0 && p.nextOffset < w.log.next(); n-- {
		p.applyRecord(w.log.records[p.nextOffset-1])
	}
}

func (p *process) applyRecord(r logRecord) {
	w := p.world
	for i, e := range r.entries {
		at := journal.Position{Offset: p.nextOffset, Index: uint16(i)}
		p.core.Apply(journal.LogEntry{Position: at, At: r.at, ReadAt: w.now, Entry: e})
		for _, a := range p.appends {
			a.applied = a.applied || a.entry.ID == e.ID
		}
		p.collectOutput()
	}
	p.nextOffset++
	w.checkAgreement(p)
}

// collectOutput wakes the calls that the core reports as changed and queues the entries in
// its outbox.
func (p *process) collectOutput() {
	for _, id := range p.core.Changed() {
		for _, c := range p.calls {
			c.woken = c.woken || c.id == id
		}
	}
	for _, m := range p.core.Outbox() {
		p.enqueue(&pendingAppend{entry: m.Entry, message: &m})
	}
}

func (p *process) enqueue(a *pendingAppend) {
	if a.entry.Writer == "" {
		a.entry.Writer = p.name
	}
	a.since = p.world.now
	p.appends = append(p.appends, a)
}

// flush appends some of the pending entries as one record. It may send an entry again, as
// the journal does after a lost reply.
func (p *process) flush() {
	w := p.world
	var batch []*pendingAppend
	var entries []journal.Entry
	for _, a := range p.appends {
		if a.applied || (a.sent && !w.chance(20)) || (!w.faultsEnded && w.chance(30)) {
			continue
		}
		batch = append(batch, a)
		entries = append(entries, a.entry)
	}
	if len(batch) == 0 {
		return
	}
	if len(batch) > 1 {
		w.report.Event("append with several entries")
	}
	refused := w.log.append(w, entries) == appendRefused
	for _, a := range batch {
		a.sent = a.sent || !refused
	}
}

// completeAppend ends an append whose entry has been read or whose time limit has passed.
func (p *process) completeAppend(a *pendingAppend) {
	if a == nil {
		return
	}
	timeUp := p.world.now.Sub(a.since) >= config.ClaimTimeout || (a.call != nil && a.call.deadlinePassed)
	if !a.applied && !timeUp {
		return
	}
	if a.call != nil {
		p.completeClaim(a)
		return
	}
	if a.message == nil {
		p.remove(a)
		return
	}
	// Outcomes and withdrawals are retried for longer than claims.
	if a.applied || p.world.now.Sub(a.since) > 20*config.ClaimTimeout {
		p.remove(a)
		p.core.Sent(*a.message)
		p.collectOutput()
	}
}

func (p *process) completeClaim(a *pendingAppend) {
	result := claim.AppendUnclear
	switch {
	case a.applied:
		result = claim.Appended
	case !a.sent:
		result = claim.NotAppended
	case p.world.mutant == mutantRefuseWithoutLatch:
		a.call.answer(claim.NotRun{Reason: claim.ReasonClaimUnclear})
		return
	default:
		p.world.report.Event("claim unclear at its timeout")
	}
	p.remove(a)
	a.call.handleClaimResult(result)
}

func (p *process) remove(a *pendingAppend) {
	for i := range p.appends {
		if p.appends[i] == a {
			p.appends = append(p.appends[:i], p.appends[i+1:]...)
			return
		}
	}
}

// checkpoint appends a checkpoint if one is due, and occasionally at other times.
func (p *process) checkpoint() {
	w := p.world
	due := p.core.CheckpointDue(w.now, w.now)
	if !due && (w.faultsEnded || !p.core.Ledger().Complete() || !w.chance(20)) {
		return
	}
	for _, a := range p.appends {
		if a.call == nil && a.message == nil {
			return // a checkpoint is already pending
		}
	}
	applied := journal.Position{Offset: p.nextOffset - 1}
	if w.mutant == mutantOverstatedCheckpoint {
		applied.Offset = w.log.next() - 1
	}
	for _, e := range p.core.Checkpoint(applied) {
		p.enqueue(&pendingAppend{entry: e})
	}
	w.report.Event("checkpoint started")
}
