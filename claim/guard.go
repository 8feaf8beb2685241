// Package claim runs calls with an idempotency key at most once across all
// instances. An instance claims the key in the journal before it dispatches the
// call. The first claim in log order may run, and its outcome is recorded for
// retries.
package claim

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// Journal is the part of journal.Journal that a Guard uses.
type Journal interface {
	journal.Writer
	// Applied returns the position up to which all entries were passed to the
	// state machines.
	Applied() journal.Position
	Health() journal.Health
}

// Dispatch sends a protected call, to another upstream only if those before did
// not run it. After the end of ctx it must send nothing, and return
// DispatchNotRun if it had sent nothing. It may run on after Do has returned, so
// it must not hold memory that the caller's HTTP library reuses.
type Dispatch func(ctx context.Context) (Response, DispatchResult)

// Guard runs protected calls at most once. It must be registered with the journal
// as the state machine of journal.KindClaim, and Serve must run under a supervisor while
// calls may arrive. The journal must be served longer than the Guard, so that a
// Guard that shuts down can still record outcomes.
type Guard struct {
	cfg     Config
	journal Journal

	// background is the context of appends, which may outlive their calls.
	background context.Context
	cancel     context.CancelFunc
	// goroutines holds the dispatches and the background appends.
	goroutines conc.WaitGroup
	// ended holds at most one signal that a call, dispatch or append has ended.
	ended chan struct{}

	mu      sync.Mutex
	core    *Core
	waiters map[CallID]chan struct{}
	// active counts the calls, dispatches and background appends in progress,
	// sending those appends alone, dropped the messages that were given up.
	active       int
	sending      int
	dropped      int
	shuttingDown bool
}

var (
	_ journal.StateMachine = (*Guard)(nil)
	_ journal.TrimListener = (*Guard)(nil)
)

// NewGuard returns a Guard over a journal. It fails if the durations in cfg are
// inconsistent.
func NewGuard(j Journal, cfg Config) (*Guard, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Guard{
		cfg:        cfg,
		journal:    j,
		background: ctx,
		cancel:     cancel,
		ended:      make(chan struct{}, 1),
		core:       NewCore(cfg, time.Now()),
		waiters:    map[CallID]chan struct{}{},
	}, nil
}

// Apply implements journal.StateMachine.
func (g *Guard) Apply(p journal.LogEntry) {
	g.withCore(func() { g.core.Apply(p) })
}

// Trimmed implements journal.TrimListener.
func (g *Guard) Trimmed(oldest infra.Offset) {
	g.withCore(func() { g.core.Trimmed(oldest) })
}

// Do runs the call with this idempotency key unless any instance ran it before.
// The digest detects different requests with the same key; the caller of Do must
// make the keys of different organisations distinct. At the end of ctx Do
// returns at once, while an active dispatch goes on and its outcome is recorded.
func (g *Guard) Do(ctx context.Context, key string, digest uint64, dispatch Dispatch) Result {
	if !g.begin() {
		return NotRun{Reason: ReasonShuttingDown, RetryAfter: g.cfg.RetryAfter}
	}
	defer g.end()
	var id CallID
	changed := make(chan struct{}, 1)
	step := g.step(func(env Env) (s Step) {
		id, s = g.core.Start(env, ParseKey(key), digest)
		// Under the lock of the first step, so that no later change is missed.
		g.waiters[id] = changed
		return s
	})
	defer g.removeWaiter(id)
	for {
		switch s := step.(type) {
		case ResultStep:
			return s.Result
		case ClaimStep:
			r := g.claim(ctx, s.Entry)
			step = g.step(func(env Env) Step { return g.core.Claimed(env, id, r) })
		case WaitStep:
			timeUp := wait(ctx, changed, s.Until)
			step = g.step(func(env Env) Step { return g.core.Resume(env, id, timeUp) })
		case DispatchStep:
			step = g.dispatch(ctx, id, dispatch)
		}
	}
}

// claim appends a claim and returns the result.
func (g *Guard) claim(ctx context.Context, e journal.Entry) AppendResult {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.ClaimTimeout)
	defer cancel()
	_, err := g.journal.Append(ctx, e)
	switch {
	case err == nil:
		return Appended
	case errors.Is(err, infra.ErrNotWritten):
		return NotAppended
	default:
		return AppendUnclear
	}
}

// wait waits for a change of the call's key, and reports whether until has
// passed or ctx has ended.
func wait(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return ctx.Err() != nil
	case <-timer.C:
		return true
	case <-ctx.Done():
		return true
	}
}

// dispatch runs the dispatch in its own goroutine, so that a caller whose
// deadline passes gets a result, and the upstream's response is still recorded.
func (g *Guard) dispatch(ctx context.Context, id CallID, dispatch Dispatch) Step {
	timeUp := ctx.Err() != nil
	deadline := time.Now().Add(g.cfg.MaxDispatch)
	if s := g.step(func(env Env) Step { return g.core.Confirm(env, id, timeUp) }); s != nil {
		return s
	}
	ended := make(chan Step, 1)
	var caught panics.Catcher
	g.withCore(func() { g.active++ })
	g.goroutines.Go(func() {
		defer g.end()
		// A dispatch that panics may have run.
		r, result := Response{}, DispatchMayHaveRun
		caught.Try(func() { r, result = dispatchWithDeadline(ctx, deadline, dispatch) })
		ended <- g.step(func(env Env) Step { return g.core.Dispatched(env, id, r, result) })
		if p := caught.Recovered(); p != nil {
			slog.Error("dispatch of a protected call panicked", "err", p.AsError())
		}
	})
	select {
	case s := <-ended:
		caught.Repanic()
		return s
	case <-ctx.Done():
		return ResultStep{Result: MayHaveRun{ReasonRunning}}
	}
}

// dispatchWithDeadline runs the dispatch, which goes on if the caller gives up.
// The deadline was set before Confirm checked the clock, so after a pause that
// follows that check nothing is sent.
func dispatchWithDeadline(ctx context.Context, deadline time.Time, dispatch Dispatch) (Response, DispatchResult) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	if ctx.Err() != nil {
		return Response{}, DispatchNotRun
	}
	return dispatch(ctx)
}

// step runs one step of the core under the lock.
func (g *Guard) step(f func(Env) Step) Step {
	h := g.journal.Health()
	var s Step
	g.withCore(func() {
		// A failure of the log that is shorter than ClaimTimeout may end before
		// the claim's append does, so the log still counts as up.
		now := time.Now()
		up := h.LogUp || now.Sub(h.LastContact) < g.cfg.ClaimTimeout
		s = f(Env{Now: now, LogUp: up})
	})
	return s
}

// withCore calls f with the core locked, wakes the calls that f changed, and
// starts the appends that it put into the outbox.
func (g *Guard) withCore(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	for _, id := range g.core.Changed() {
		if w, ok := g.waiters[id]; ok {
			signal(w)
		}
	}
	for _, m := range g.core.Outbox() {
		g.send(m)
	}
}

func (g *Guard) removeWaiter(id CallID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
}

// begin counts a new call; it returns false if the Guard is shutting down.
func (g *Guard) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shuttingDown {
		return false
	}
	g.active++
	return true
}

// end counts the end of a call, a dispatch or an append.
func (g *Guard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	signal(g.ended)
}

// signal sends to c without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
