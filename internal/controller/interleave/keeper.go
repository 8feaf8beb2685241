package interleave

import (
	"time"

	"tamarackchute/journal"
	"tamarackchute/lease"
)

// keeper plays lease.Keeper over the real lease.Machine.
type keeper struct {
	p       *process
	scope   string
	machine *lease.Machine
	inHand  int
	busy    bool
	closing bool
	left    bool
}

func (p *process) newKeeper(scope string, byProof bool) *keeper {
	cfg := lease.Config{
		Scope: scope, Instance: p.on.name, Incarnation: p.incarnation,
		Term: term, Renew: renew, Drift: drift, Unfenced: byProof, Settle: settle,
		ClaimDelay: time.Duration(p.on.name[1]-'1') * 50 * time.Millisecond,
	}
	switch p.w.mutant {
	case mutantUnfencedByTime:
		cfg.Unfenced = false
	case mutantNoDrift:
		cfg.Drift = 0
	case mutantNoSettle:
		cfg.Settle = 0
	}
	k := &keeper{p: p, scope: scope, machine: lease.NewMachine(cfg, p.clock())}
	p.later(100*time.Millisecond, k.tick)
	return k
}

func (k *keeper) tick() {
	defer k.p.later(100*time.Millisecond, k.tick)
	if k.busy || k.closing {
		return
	}
	s := k.p.fold.leases.Scope(k.scope)
	step := k.machine.Step(s, k.sight(s), k.p.clock())
	if step.Record != nil {
		k.send(*step.Record)
	}
}

func (k *keeper) sight(s lease.ScopeState) lease.Observation {
	see := lease.Observation{AddressBound: true, SelfListed: k.p.on.listed}
	for _, m := range k.p.w.machines {
		if m.name != s.Holder {
			continue
		}
		see.HolderGone = !m.listed && k.p.w.now-m.goneAt > listLag
		if k.p.w.mutant == mutantSilentIsGone {
			see.HolderGone = m.process == nil || k.p.w.now < m.process.pausedUntil
		}
	}
	return see
}

func (k *keeper) send(r lease.Record) {
	if r.Op == lease.OpRelease && k.inHand > 0 && k.p.w.mutant != mutantReleaseInHand {
		return
	}
	k.busy = true
	id := k.machine.PendingID(r)
	if id == "" {
		id = k.p.w.id("entry")
	}
	fromReply := k.p.w.mutant == mutantFromReply
	if !fromReply {
		k.machine.BeginSend(id, r, k.p.clock())
	}
	k.p.append(journal.KindLease, id, r.Encode(), func(_ journal.Position, err error) {
		if fromReply {
			k.machine.BeginSend(id, r, k.p.clock())
		}
		k.machine.Observe(k.p.fold.leases.Scope(k.scope), k.p.clock())
		if err == nil || err == errNotWritten {
			k.machine.Resolved(id)
		}
		k.busy = false
	})
}

// leave releases the scope after the steps in hand.
func (k *keeper) leave() {
	if k.busy || (k.inHand > 0 && k.p.w.mutant != mutantReleaseInHand) {
		k.p.later(50*time.Millisecond, k.leave)
		return
	}
	r, held := k.machine.Release(k.p.fold.leases.Scope(k.scope))
	if !held {
		k.left = true
		k.p.stopped()
		return
	}
	k.send(r)
	if k.p.w.fault(k.p.w.stalls) {
		k.p.w.report.Event("controller paused after its release")
		k.p.w.after(50*time.Millisecond, func() { k.p.pause(12 * time.Second) })
	}
	k.p.later(50*time.Millisecond, k.leave)
}

func (k *keeper) authority() (lease.Authority, bool) {
	if k.closing {
		return lease.Authority{}, false
	}
	return k.machine.Authority(k.p.fold.leases.Scope(k.scope), k.p.clock())
}
