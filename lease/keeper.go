package lease

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// Presence tells which instances the platform's list has.
type Presence interface {
	// Gone reports that the instance is missing from every response of the list
	// that was requested after a time, for at least as long as the list may lag.
	Gone(instance string, after time.Time) bool
	// Listed reports that the list's last response has the instance.
	Listed(instance string) bool
}

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	Config
	// Writer names this process in journal entries.
	Writer string
	// AddressBound says that the process has bound its instance's exclusive
	// listening address and keeps it until it ends.
	AddressBound bool
}

// Keeper claims, renews and releases the lease of one scope for this process.
// It is a suture service.
type Keeper struct {
	cfg      KeeperConfig
	journal  journal.Writer
	view     *View
	presence Presence
	log      *slog.Logger

	mu      sync.Mutex
	machine *Machine
	// closers counts the releases in progress, which refuse new uses of the
	// authority; active counts the uses that have not ended.
	closers int
	active  int
	idle    chan struct{}
	wake    chan struct{}
}

// NewKeeper returns a keeper that writes to a journal and reads a view folded
// from the same journal.
func NewKeeper(cfg KeeperConfig, w journal.Writer, v *View, p Presence, log *slog.Logger) *Keeper {
	return &Keeper{
		cfg: cfg, journal: w, view: v, presence: p, log: log.With("scope", cfg.Scope),
		machine: NewMachine(cfg.Config, time.Now()),
		wake:    make(chan struct{}, 1),
	}
}

// Scope returns the keeper's scope.
func (k *Keeper) Scope() string { return k.cfg.Scope }

// String returns the service's name for the supervisor's log.
func (k *Keeper) String() string { return "lease " + k.cfg.Scope }

// Serve claims and renews until the context ends. It doesn't release.
func (k *Keeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := k.view.Changed()
		step := k.step()
		if step.Record != nil {
			k.append(ctx, *step.Record)
			continue
		}
		k.sleep(ctx, changed, step.WakeAt)
	}
	return ctx.Err()
}

func (k *Keeper) step() Step {
	s := k.view.Scope(k.cfg.Scope)
	obs := k.observation(s)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.closers > 0 {
		return Step{WakeAt: now.Add(k.cfg.Renew)}
	}
	return k.machine.Step(s, obs, now)
}

func (k *Keeper) observation(s ScopeState) Observation {
	obs := Observation{AddressBound: k.cfg.AddressBound, SelfListed: k.presence.Listed(k.cfg.Instance)}
	if s.Held && s.Holder != k.cfg.Instance {
		obs.HolderGone = k.presence.Gone(s.Holder, s.LastReadAt)
	}
	return obs
}

// append sends a record and observes whether it was accepted. A release first
// waits until no use of the authority is active.
func (k *Keeper) append(ctx context.Context, r Record) {
	if r.Op == OpRelease {
		if !k.quiesce(ctx) {
			return
		}
		defer k.reopen()
	}
	id := k.beginSend(r)
	sendCtx, cancel := context.WithTimeout(ctx, k.cfg.Term)
	_, err := k.journal.Append(sendCtx, journal.Entry{
		Kind: journal.KindLease, ID: id, Writer: k.cfg.Writer, Body: r.Encode(),
	})
	cancel()
	accepted := k.observeAppend(id, err)
	if accepted || ctx.Err() != nil {
		return
	}
	k.log.Warn("lease record not accepted", "op", r.Op, "error", err)
	k.sleep(ctx, nil, time.Now().Add(k.cfg.Renew/2))
}

func (k *Keeper) beginSend(r Record) (id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id = k.machine.PendingID(r)
	if id == "" {
		id = uuid.NewString()
	}
	k.machine.BeginSend(id, r, time.Now())
	return id
}

// observeAppend passes the outcome of an append to the machine, and reports
// whether the record is the scope's last accepted one.
func (k *Keeper) observeAppend(id string, err error) bool {
	s := k.view.Scope(k.cfg.Scope)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Observe(s, time.Now())
	if err == nil || errors.Is(err, infra.ErrNotWritten) {
		k.machine.Resolved(id)
	}
	return s.LastID == id
}

// sleep waits until a time, a change of the view, a call of Renumber or the
// context's end.
func (k *Keeper) sleep(ctx context.Context, changed <-chan struct{}, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-k.wake:
	case <-t.C:
	}
}

// Authority returns the current right to give orders in the scope, if this
// process has it.
func (k *Keeper) Authority() (Authority, bool) {
	s := k.view.Scope(k.cfg.Scope)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closers > 0 {
		return Authority{}, false
	}
	return k.machine.Authority(s, time.Now())
}

// IsLastHolder reports whether the journal has this process as the scope's holder, even if its term is
// over: then it may regain the authority under the same fencing token.
func (k *Keeper) IsLastHolder() bool {
	return k.view.Scope(k.cfg.Scope).HeldBy(k.cfg.Instance, k.cfg.Incarnation)
}

// Use begins an action under the authority and returns a function that ends
// it. A release waits for the end, so an order in progress is finished before
// another process can claim the scope after this one's release.
func (k *Keeper) Use() (Authority, func(), bool) {
	s := k.view.Scope(k.cfg.Scope)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closers > 0 {
		return Authority{}, nil, false
	}
	a, ok := k.machine.Authority(s, time.Now())
	if !ok {
		return Authority{}, nil, false
	}
	k.active++
	return a, sync.OnceFunc(k.endUse), true
}

func (k *Keeper) endUse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.active--
	if k.active == 0 && k.idle != nil {
		close(k.idle)
		k.idle = nil
	}
}

// Renumber begins a new term with a higher fencing token, which outdates every
// order that this process has sent before.
func (k *Keeper) Renumber() {
	k.mu.Lock()
	k.machine.Renumber()
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// quiesce refuses new uses of the authority and waits for the active ones. It
// returns false if the context ends first.
func (k *Keeper) quiesce(ctx context.Context) bool {
	k.mu.Lock()
	k.closers++
	if k.active == 0 {
		k.mu.Unlock()
		return true
	}
	if k.idle == nil {
		k.idle = make(chan struct{})
	}
	idle := k.idle
	k.mu.Unlock()
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		k.reopen()
		return false
	}
}

// reopen undoes a quiesce.
func (k *Keeper) reopen() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closers--
}

// Release releases the scope for good, after the active uses have ended, and
// returns once the journal shows it. From the call on the keeper gives no
// authority. An error means that the release may not be in the log.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	k.closers++
	k.mu.Unlock()
	if !k.quiesce(ctx) {
		return eris.Wrap(ctx.Err(), "lease: an order is still in progress")
	}
	for {
		changed := k.view.Changed()
		s := k.view.Scope(k.cfg.Scope)
		k.mu.Lock()
		r, held := k.machine.Release(s)
		claiming, until := k.machine.pendingClaim(s, time.Now())
		k.mu.Unlock()
		if !held && !claiming {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return eris.Wrap(err, "lease: release not confirmed")
		}
		if held {
			k.append(ctx, r)
			continue
		}
		k.log.Info("lease release waits for a pending claim", "until", until)
		k.sleep(ctx, changed, until)
	}
}
