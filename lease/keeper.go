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

// Presence tells a keeper about other instances, from the platform's list.
type Presence interface {
	// Gone reports that the list hasn't named the instance in any answer that
	// was asked for after a time, over at least the time by which it may lag.
	Gone(instance string, after time.Time) bool
	// Listed reports that the last answer names the instance.
	Listed(instance string) bool
}

// KeeperConfig sets a Keeper.
type KeeperConfig struct {
	Config
	// Writer names this process in journal entries.
	Writer string
	// AddressBound says that the process holds its instance's exclusive
	// listening address, and keeps it until it ends.
	AddressBound bool
}

// Keeper keeps this process's part in the lease of one scope: it claims,
// renews and releases. It is a suture service.
type Keeper struct {
	cfg      KeeperConfig
	journal  journal.Writer
	view     *View
	presence Presence
	log      *slog.Logger

	mu      sync.Mutex
	machine *Machine
	// closing stops new uses of the authority, inHand counts the running ones.
	closing int
	inHand  int
	idle    chan struct{}
	nudge   chan struct{}
}

// NewKeeper returns a keeper that writes to a journal and reads a view which
// is folded from the same journal.
func NewKeeper(cfg KeeperConfig, w journal.Writer, v *View, p Presence, log *slog.Logger) *Keeper {
	return &Keeper{
		cfg: cfg, journal: w, view: v, presence: p, log: log.With("scope", cfg.Scope),
		machine: NewMachine(cfg.Config, time.Now()),
		nudge:   make(chan struct{}, 1),
	}
}

// Scope returns the keeper's scope.
func (k *Keeper) Scope() string { return k.cfg.Scope }

// String names the service for the supervisor's log.
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
	see := k.sight(s)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.closing > 0 {
		return Step{WakeAt: now.Add(k.cfg.Renew)}
	}
	return k.machine.Step(s, see, now)
}

func (k *Keeper) sight(s ScopeState) Observation {
	see := Observation{AddressBound: k.cfg.AddressBound, SelfListed: k.presence.Listed(k.cfg.Instance)}
	if s.Held && s.Holder != k.cfg.Instance {
		see.HolderGone = k.presence.Gone(s.Holder, s.LastReadAt)
	}
	return see
}

// append sends one record and takes its verdict in. A release first waits
// until no order is in hand.
func (k *Keeper) append(ctx context.Context, r Record) {
	if r.Op == OpRelease {
		if !k.quiesce(ctx) {
			return
		}
		defer k.reopen()
	}
	id := k.sending(r)
	sendCtx, cancel := context.WithTimeout(ctx, k.cfg.Term)
	_, err := k.journal.Append(sendCtx, journal.Entry{
		Kind: journal.KindLease, ID: id, Writer: k.cfg.Writer, Body: r.Encode(),
	})
	cancel()
	accepted := k.appended(id, err)
	if accepted || ctx.Err() != nil {
		return
	}
	k.log.Warn("lease record not accepted", "op", r.Op, "error", err)
	k.sleep(ctx, nil, time.Now().Add(k.cfg.Renew/2))
}

func (k *Keeper) sending(r Record) (id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id = k.machine.PendingID(r)
	if id == "" {
		id = uuid.NewString()
	}
	k.machine.BeginSend(id, r, time.Now())
	return id
}

// appended takes in what became of an append, and reports whether the record
// is the scope's last accepted one.
func (k *Keeper) appended(id string, err error) bool {
	s := k.view.Scope(k.cfg.Scope)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Observe(s, time.Now())
	if err == nil || errors.Is(err, infra.ErrNotWritten) {
		k.machine.Resolved(id)
	}
	return s.LastID == id
}

// sleep waits until a time, a change of the view or the context's end.
func (k *Keeper) sleep(ctx context.Context, changed <-chan struct{}, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-k.nudge:
	case <-t.C:
	}
}

// Authority returns the right to give orders in the scope now, if this
// process has it.
func (k *Keeper) Authority() (Authority, bool) {
	s := k.view.Scope(k.cfg.Scope)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closing > 0 {
		return Authority{}, false
	}
	return k.machine.Authority(s, time.Now())
}

// Use begins an action under the authority and returns a function that ends
// it. A release waits for the end, so an order in hand is always finished
// before another process may take the scope by this one's release.
func (k *Keeper) Use() (Authority, func(), bool) {
	s := k.view.Scope(k.cfg.Scope)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closing > 0 {
		return Authority{}, nil, false
	}
	a, ok := k.machine.Authority(s, time.Now())
	if !ok {
		return Authority{}, nil, false
	}
	k.inHand++
	return a, sync.OnceFunc(k.done), true
}

func (k *Keeper) done() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inHand--
	if k.inHand == 0 && k.idle != nil {
		close(k.idle)
		k.idle = nil
	}
}

// Renumber begins a new term with a higher fencing number, which outdates
// every order that this process has sent before.
func (k *Keeper) Renumber() {
	k.mu.Lock()
	k.machine.Renumber()
	k.mu.Unlock()
	select {
	case k.nudge <- struct{}{}:
	default:
	}
}

// quiesce stops new uses of the authority and waits for the running ones.
func (k *Keeper) quiesce(ctx context.Context) bool {
	k.mu.Lock()
	k.closing++
	if k.inHand == 0 {
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

func (k *Keeper) reopen() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing--
}

// Release gives the scope up for good, after the actions in hand have ended,
// and returns once the journal shows it. The keeper gives no authority from
// the call on. Its error means that the release may not be in the log.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	k.closing++
	k.mu.Unlock()
	if !k.quiesce(ctx) {
		return eris.Wrap(ctx.Err(), "lease: an order is still in hand")
	}
	for {
		changed := k.view.Changed()
		s := k.view.Scope(k.cfg.Scope)
		k.mu.Lock()
		r, held := k.machine.Release(s)
		claiming, until := k.machine.claiming(s, time.Now())
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
		k.log.Info("lease claim under way; the release waits for it", "until", until)
		k.sleep(ctx, changed, until)
	}
}
