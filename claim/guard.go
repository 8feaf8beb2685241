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

// Journal is what a Guard needs of a journal.Journal.
type Journal interface {
	journal.Writer
	// Applied is the position up to which all entries were given to folders.
	Applied() journal.Position
	Health() journal.Health
}

// Dispatch sends a protected call to its upstream, at most once. It may try
// several upstreams as long as each before certainly did not run the call. It
// must send nothing once ctx has ended, and then say DispatchNotRun if it had
// sent nothing. It may go on running after Do has returned, so it must not hold memory that the
// caller's HTTP library uses again.
type Dispatch func(ctx context.Context) (Response, DispatchResult)

// Guard runs protected calls at most once. It is registered with the journal
// as the folder of journal.KindClaim, and its Serve runs below a supervisor
// for as long as calls may come. The journal must be served longer than the
// Guard, so that a stopping Guard can still record outcomes.
type Guard struct {
	cfg     Config
	journal Journal

	// background is the context of appends that outlive their calls.
	background context.Context
	cancel     context.CancelFunc
	appends    conc.WaitGroup
	// left has room for one signal that a call or an append has ended.
	ended chan struct{}

	mu       sync.Mutex
	core     *Core
	waiters  map[CallID]chan struct{}
	active   int
	sending  int
	dropped  int
	stopping bool
}

var (
	_ journal.Folder  = (*Guard)(nil)
	_ journal.Trimmer = (*Guard)(nil)
)

// NewGuard returns a Guard over a journal. It fails if the times in cfg don't
// fit together.
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

// Apply implements journal.Folder.
func (g *Guard) Apply(p journal.Placed) {
	g.withCore(func() { g.core.Apply(p) })
}

// Trimmed implements journal.Trimmer.
func (g *Guard) Trimmed(oldest infra.Offset) {
	g.withCore(func() { g.core.Trimmed(oldest) })
}

// Do runs the call with this idempotency key unless it was run before, at any
// instance, and tells what became of it. The digest tells requests apart that
// wrongly share a key. The end of ctx is the caller's deadline: Do then returns
// at once, while a dispatch under way goes on and its outcome is recorded for
// resends. Keys of different organisations must be made different by the
// caller of Do.
func (g *Guard) Do(ctx context.Context, key string, digest uint64, dispatch Dispatch) Result {
	if !g.begin() {
		return NotRun{Reason: ReasonStopping, RetryAfter: g.cfg.RetryAfter}
	}
	defer g.end()
	var id CallID
	changed := make(chan struct{}, 1)
	step := g.step(func(env Env) (s Step) {
		id, s = g.core.Start(env, ParseKey(key), digest)
		// Under the lock of the first step: no change after it is missed.
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

// claim appends a claim and tells how that ended.
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

// wait waits for a change of the call's key, and reports whether the time is
// up.
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

// dispatch runs the dispatch in a goroutine of its own, so that a caller whose
// time is up gets its answer, and the upstream's answer still gets recorded.
func (g *Guard) dispatch(ctx context.Context, id CallID, dispatch Dispatch) Step {
	timeUp := ctx.Err() != nil
	deadline := time.Now().Add(g.cfg.MaxDispatch)
	if s := g.step(func(env Env) Step { return g.core.Confirm(env, id, timeUp) }); s != nil {
		return s
	}
	ended := make(chan Step, 1)
	var caught panics.Catcher
	g.withCore(func() { g.active++ })
	g.appends.Go(func() {
		defer g.end()
		// A dispatch that panics may have run.
		r, e := Response{}, DispatchMayHaveRun
		caught.Try(func() { r, e = dispatchWithDeadline(ctx, deadline, dispatch) })
		ended <- g.step(func(env Env) Step { return g.core.Dispatched(env, id, r, e) })
		if p := caught.Recovered(); p != nil {
			slog.Error("a protected call's dispatch panicked", "err", p.AsError())
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

// bounded runs the dispatch, which the caller's leaving doesn't break off. The
// deadline was set before the last look at the clock: after a pause behind
// that look nothing is sent any more.
func dispatchWithDeadline(ctx context.Context, deadline time.Time, dispatch Dispatch) (Response, DispatchResult) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	if ctx.Err() != nil {
		return Response{}, DispatchNotRun
	}
	return dispatch(ctx)
}

// step runs one step of the core and then what it asks for.
func (g *Guard) step(f func(Env) Step) Step {
	h := g.journal.Health()
	var s Step
	g.withCore(func() {
		// A claim may still make it through a failure that is shorter than it
		// may take.
		now := time.Now()
		up := h.LogUp || now.Sub(h.LastContact) < g.cfg.ClaimTimeout
		s = f(Env{Now: now, LogUp: up})
	})
	return s
}

// locked calls f with the core locked, wakes the calls that f changed, and
// starts the appends that it asked for.
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

func (g *Guard) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return false
	}
	g.active++
	return true
}

func (g *Guard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	signal(g.ended)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
