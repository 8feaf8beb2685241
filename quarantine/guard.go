package quarantine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tamarackchute/journal"
)

// ErrReserved says that a suspect can't have the upstream that it asked for,
// because another suspect runs there or it runs elsewhere already.
var ErrReserved = errors.New("quarantine: upstream is kept for another suspect")

// The bounds of what a guard remembers by itself.
const (
	maxAnswered = 8192
	// suspectRetry is the advice to a suspect that finds no free upstream.
	suspectRetry = 2 * time.Second
)

// Guard answers for one process what may run where. It folds the journal,
// writes to it, and adds what it knows itself: the journal may be down, and a
// crash seen here counts here at once. It is safe for use by many goroutines.
//
// Without the log suspects are kept apart within this process only.
type Guard struct {
	w      journal.Writer
	writer string
	now    func() time.Time
	// observe is told of quarantines that begin; it may be nil.
	observe func(Entered)

	mu       sync.Mutex
	state    *State
	local    map[string]Digest // upstreams on which suspects of ours run
	pending  []journal.Entry   // crash reports that the log hasn't taken yet
	own      map[Digest]*ownCrashes
	answered *simplelru.LRU[Digest, time.Time]
}

// NewGuard makes a guard. writer names the process in the journal; now is the
// clock, nil means time.Now.
func NewGuard(cfg Config, w journal.Writer, writer string, now func() time.Time) *Guard {
	if now == nil {
		now = time.Now
	}
	answered, _ := simplelru.NewLRU[Digest, time.Time](maxAnswered, nil)
	return &Guard{
		w:        w,
		writer:   writer,
		now:      now,
		state:    NewState(cfg),
		local:    map[string]Digest{},
		own:      map[Digest]*ownCrashes{},
		answered: answered,
	}
}

// Apply folds an entry of the journal.
func (g *Guard) Apply(p journal.Placed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Apply(p)
	for _, d := range g.state.touched {
		g.readBack(d, g.state.crashed)
	}
	if g.observe == nil {
		return
	}
	for _, e := range g.state.entered {
		g.observe(e)
	}
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

// MayRunOn reports whether a digest may start on an upstream: a suspect not
// where another one runs. The router asks it for each candidate.
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

// Crashed reports that an upstream died with requests in flight here.
// incarnation may be "". The suspicion holds in this process at once; the
// error says that the log hasn't taken the report, which Flush tries again.
func (g *Guard) Crashed(ctx context.Context, upstream, incarnation string, inFlight []Digest) error {
	if len(inFlight) == 0 {
		return nil
	}
	e := g.noteCrash(upstream, incarnation, inFlight)
	_, err := g.w.Append(ctx, e)
	if err != nil {
		g.keep(e)
	}
	return err
}

func (g *Guard) noteCrash(upstream, incarnation string, inFlight []Digest) journal.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &Crash{Upstream: upstream, Incarnation: incarnation}
	delete(g.local, upstream)
	for _, d := range inFlight {
		if g.answeredLately(d) {
			c.Doubtful = append(c.Doubtful, d)
			continue
		}
		c.Suspects = append(c.Suspects, d)
		g.noteOwn(d, upstream)
	}
	return entryOf(uuid.NewString(), g.writer, message{Crash: c})
}

func (g *Guard) answeredLately(d Digest) bool {
	at, ok := g.answered.Get(d)
	return ok && g.now().Sub(at) < g.state.cfg.SuspectFor
}

// Answered notes that a digest got its whole answer. It speaks for it at the
// next crash.
func (g *Guard) Answered(d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered.Add(d, g.now())
}

// Isolate asks for an upstream for a suspect alone. It returns ErrHeld if
// another suspect has it. The isolation must be ended.
func (g *Guard) Isolate(ctx context.Context, upstream string, d Digest) (*Isolation, error) {
	if !g.holdLocally(upstream, d) {
		return nil, ErrReserved
	}
	e := entryOf(uuid.NewString(), g.writer, message{Isolate: &isolate{d, upstream}})
	_, err := g.w.Append(ctx, e)
	iso := &Isolation{g: g, upstream: upstream, digest: d, logged: err == nil}
	if err != nil {
		// The log is down or slow: better apart within this process than not
		// at all.
		return iso, nil
	}
	if !g.heldBy(upstream, d) {
		g.dropLocally(upstream, d)
		return nil, ErrReserved
	}
	return iso, nil
}

func (g *Guard) heldBy(upstream string, d Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.heldBy(upstream, d)
}

func (g *Guard) holdLocally(upstream string, d Digest) bool {
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

func (g *Guard) dropLocally(upstream string, d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.local[upstream] == d {
		delete(g.local, upstream)
	}
}

// Waiting returns the refusal of a suspect that found no upstream to itself.
func (g *Guard) Waiting(d Digest) *Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Error{Digest: d, Verdict: g.verdict(d), RetryAfter: suspectRetry}
}

// Release lets a digest run again, by an operator's word.
func (g *Guard) Release(ctx context.Context, r Release) error {
	_, err := g.w.Append(ctx, entryOf(uuid.NewString(), g.writer, message{Release: &r}))
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.own, r.Digest)
	return nil
}
