package interleave

import (
	"time"

	"tamarackchute/journal"
	"tamarackchute/lease"
)

// keeper simulates lease.Keeper on top of the production lease.Machine.
type keeper struct {
	p         *process
	scope     string
	machine   *lease.Machine
	openSteps int
	sending   bool
	stopping  bool
	released  bool
}

func (p *process) newKeeper(scope string, unfenced bool) *keeper {
	cfg := lease.Config{
		Scope: scope, Instance: p.instance.name, Incarnation: p.incarnation,
		Term: term, Renew: renew, Drift: drift, Unfenced: unfenced, Settle: settle,
		ClaimDelay: time.Duration(p.instance.name[1]-'1') * 50 * time.Millisecond,
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
	p.schedule(100*time.Millisecond, k.tick)
	return k
}

func (k *keeper) tick() {
	defer k.p.schedule(100*time.Millisecond, k.tick)
	if k.sending || k.stopping {
		return
	}
	s := k.p.state.leases.Scope(k.scope)
	step := k.machine.Step(s, k.observe(s), k.p.clock())
	if step.Record != nil {
		k.send(*step.Record)
	}
}

func (k *keeper) observe(s lease.ScopeState) lease.Observation {
	obs := lease.Observation{AddressBound: true, SelfListed: k.p.instance.listed}
	for _, m := range k.p.w.instances {
		if m.name != s.Holder {
			continue
		}
		obs.HolderGone = !m.listed && k.p.w.now-m.goneAt > listLag
		if k.p.w.mutant == mutantSilentHolderGone {
			obs.HolderGone = m.process == nil || k.p.w.now < m.process.pausedUntil
		}
	}
	return obs
}

func (k *keeper) send(r lease.Record) {
	if r.Op == lease.OpRelease && k.openSteps > 0 && k.p.w.mutant != mutantReleaseWithOpenStep {
		return
	}
	k.sending = true
	id := k.machine.PendingID(r)
	if id == "" {
		id = k.p.w.id("entry")
	}
	fromReply := k.p.w.mutant == mutantLeaseFromReply
	if !fromReply {
		k.machine.BeginSend(id, r, k.p.clock())
	}
	k.p.append(journal.KindLease, id, r.Encode(), func(_ journal.Position, err error) {
		if fromReply {
			k.machine.BeginSend(id, r, k.p.clock())
		}
		k.machine.Observe(k.p.state.leases.Scope(k.scope), k.p.clock())
		if err == nil || err == errNotWritten {
			k.machine.Resolved(id)
		}
		k.sending = false
	})
}

// release releases the scope once the steps in progress have ended.
func (k *keeper) release() {
	if k.sending || (k.openSteps > 0 && k.p.w.mutant != mutantReleaseWithOpenStep) {
		k.p.schedule(50*time.Millisecond, k.release)
		return
	}
	r, held := k.machine.Release(k.p.state.leases.Scope(k.scope))
	if !held {
		k.released = true
		k.p.exitIfReleased()
		return
	}
	k.send(r)
	if k.p.w.fault(k.p.w.pauseProbability) {
		k.p.w.report.Event("controller paused after its release")
		k.p.w.schedule(50*time.Millisecond, func() { k.p.pause(12 * time.Second) })
	}
	k.p.schedule(50*time.Millisecond, k.release)
}

func (k *keeper) authority() (lease.Authority, bool) {
	if k.stopping {
		return lease.Authority{}, false
	}
	return k.machine.Authority(k.p.state.leases.Scope(k.scope), k.p.clock())
}
