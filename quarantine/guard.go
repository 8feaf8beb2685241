package quarantine

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tamarackchute/journal"
)

// ErrReserved is returned if a suspect can't reserve an upstream, because another
// suspect runs there or it already runs elsewhere.
var ErrReserved = errors.New("quarantine: upstream is reserved for another suspect")

// Limits of a guard's local state.
const (
	maxAnswers = 8192
	// suspectRetry is the Retry-After of a suspect that finds no free upstream.
	suspectRetry = 2 * time.Second
)

// Guard decides for one process which requests may run where. It folds the journal,
// writes to it, and adds local observations: a crash observed here counts at once,
// even while the log is down. Then suspects are isolated only from others in this
// process. It is safe for concurrent use.
type Guard struct {
	journal journal.Writer
	// kind is that of the guard's entries.
	kind journal.Kind
	// writer identifies this process in the journal.
	writer string
	now    func() time.Time
	// observe is called with each new quarantine, observeSpared with each digest that was spared; they may
	// be nil.
	observe, observeSpared func(Entered)
	// observeCleared is called with each suspect that an answer has cleared; it may be nil.
	observeCleared func(Cleared)
	// publish passes a report on to other processes; it may be nil.
	publish func(journal.Entry)
	// reachesAll reports whether publish reaches all other processes.
	reachesAll func() bool
	// checkpoints reports whether this process writes checkpoints; nil means yes.
	checkpoints func() bool
	// index is nil after a change; see changed.
	index atomic.Pointer[index]

	mu          sync.Mutex
	state       *State
	local       map[string]Digest // upstreams on which suspects of this process run
	pending     []journal.Entry   // entries not yet in the log
	unconfirmed map[Digest]*unconfirmedCrashes
	completed   *answers
	heard       *simplelru.LRU[string, struct{}]
	// claims are those in force, by ID; news is closed when one ends or a verdict may have changed.
	claims map[string]*knownClaim
	news   chan struct{}
}

// NewGuard returns a guard. writer identifies the process in the journal; now is
// the clock, time.Now if nil.
func NewGuard(cfg Config, w journal.Writer, writer string, now func() time.Time) *Guard {
	if now == nil {
		now = time.Now
	}
	heard, _ := simplelru.NewLRU[string, struct{}](maxHeard, nil)
	return &Guard{
		journal:     w,
		kind:        cfg.Kind,
		writer:      writer,
		now:         now,
		state:       NewState(cfg),
		local:       map[string]Digest{},
		unconfirmed: map[Digest]*unconfirmedCrashes{},
		completed:   newAnswers(),
		heard:       heard,
		claims:      map[string]*knownClaim{},
		news:        make(chan struct{}),
	}
}

// LimitCheckpoints makes only the processes write checkpoints for which f returns true. It must be
// set before the first use.
func (g *Guard) LimitCheckpoints(f func() bool) { g.checkpoints = f }

func (g *Guard) writesCheckpoints() bool { return g.checkpoints == nil || g.checkpoints() }

// Apply folds an entry of the journal.
func (g *Guard) Apply(p journal.LogEntry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Apply(p)
	for _, d := range g.state.touched {
		g.confirm(d, g.state.crashed)
	}
	if !g.heard.Contains(p.Entry.ID) { // else later crashes would be cleared, too
		for _, c := range g.state.cleared {
			g.forgetSuspect(c.Digest, c.Crashes, p.Entry.Writer)
		}
	}
	for _, d := range g.state.freed {
		delete(g.unconfirmed, d)
	}
	if p.Entry.Kind == g.state.cfg.Kind {
		g.changed()
	}
	g.observeAll()
}

// Check returns a digest's verdict, and an *Error if it is quarantined.
func (g *Guard) Check(d Digest) (Verdict, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.verdict(d)
	if v.Status == Quarantined {
		return v, &Error{Digest: d, Verdict: v, RetryAfter: v.Remaining}
	}
	return v, nil
}

// MayRunOn reports whether a digest may start on an upstream: a suspect may not
// where another one runs. The router calls it for each candidate.
func (g *Guard) MayRunOn(upstream string, d Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mayRunOn(upstream, d)
}

func (g *Guard) mayRunOn(upstream string, d Digest) bool {
	if g.verdict(d).Status == Clean {
		return true
	}
	if have, ok := g.local[upstream]; ok && have != d {
		return false
	}
	return g.state.MayRunOn(upstream, d)
}

// Crashed reports that an upstream crashed with requests of this process in
// flight. incarnation may be "". They become suspects in this process at once; an
// error means that the report isn't in the log yet, and Serve will retry it.
func (g *Guard) Crashed(ctx context.Context, upstream, incarnation string, inFlight []Digest) error {
	return g.RecordCrash(upstream, incarnation, inFlight)(ctx)
}

// RecordCrash is Crashed but for the journal: it is known here and passed on to other processes when
// it returns. The returned function writes it to the journal.
// tried are those in flight in trials.
func (g *Guard) RecordCrash(upstream, incarnation string, inFlight []Digest, tried ...Digest) func(context.Context) error {
	if len(inFlight) == 0 {
		return func(context.Context) error { return nil }
	}
	return g.reportCrash(g.recordCrash(upstream, incarnation, inFlight, tried))
}

func (g *Guard) recordCrash(upstream, incarnation string, inFlight, tried []Digest) *Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed()
	c := &Crash{Upstream: upstream, Incarnation: incarnation, Tried: tried}
	delete(g.local, upstream)
	for _, d := range inFlight {
		if g.state.cfg.MinAnsweredTrials == 0 && g.completedRecently(d) {
			c.Doubtful = append(c.Doubtful, d)
			continue
		}
		c.Suspects = append(c.Suspects, d)
		g.addUnconfirmed(d, crashID{upstream, incarnation}, slices.Contains(tried, d), 0)
	}
	c.Answered = g.answeredOf(c.Suspects)
	return c
}

// Isolate reserves an upstream for one suspect. It returns ErrReserved if another
// suspect has it. The caller must end the isolation.
func (g *Guard) Isolate(ctx context.Context, upstream string, d Digest) (*Isolation, error) {
	if !g.reserveLocally(upstream, d) {
		return nil, ErrReserved
	}
	e := entryOf(g.kind, uuid.NewString(), g.writer, message{Isolate: &isolate{d, upstream}})
	_, err := g.journal.Append(ctx, e)
	iso := &Isolation{g: g, upstream: upstream, digest: d, logged: err == nil}
	if err != nil {
		// The log is down or slow: isolation within this process is better than
		// none.
		return iso, nil
	}
	if !g.reservedFor(upstream, d) {
		g.releaseLocally(upstream, d)
		return nil, ErrReserved
	}
	return iso, nil
}

func (g *Guard) reservedFor(upstream string, d Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.reservedFor(upstream, d)
}

func (g *Guard) reserveLocally(upstream string, d Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.state.MayRunOn(upstream, d) {
		return false
	}
	for u, have := range g.local {
		if u == upstream || have == d {
			return false
		}
	}
	g.local[upstream] = d
	return true
}

func (g *Guard) releaseLocally(upstream string, d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.local[upstream] == d {
		delete(g.local, upstream)
	}
}

// IsolationError returns the refusal of a suspect that found no upstream to reserve.
func (g *Guard) IsolationError(d Digest) *Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Error{Digest: d, Verdict: g.verdict(d), RetryAfter: suspectRetry}
}

// Release lets a digest run again, on an operator's request.
func (g *Guard) Release(ctx context.Context, r Release) error {
	e := entryOf(g.kind, uuid.NewString(), g.writer, message{Release: &r})
	if _, err := g.journal.Append(ctx, e); err != nil {
		return err
	}
	if g.publish != nil {
		g.publish(e)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unconfirmed, r.Digest)
	g.changed()
	return nil
}
