package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// claimSettle is how long a claim waits for one that was made at the same time elsewhere. Reports
	// cross a site in a few milliseconds.
	claimSettle = 30 * time.Millisecond
	// maxClaimTime limits a claim, whose process may end before it does.
	maxClaimTime = 5 * time.Second
	// maxClaims bounds the claims that are known at a time.
	maxClaims = 1024
	// aloneAfter is the number of crashes after which a suspect shares no upstream with other
	// suspects: one of them would be counted for the other's crash.
	aloneAfter = 2
)

// claimEndRepeats are the times after which the end of a claim is told again: a link that breaks loses what is on its way,
// and until a claim lapses it keeps the suspect from running anywhere.
var claimEndRepeats = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}

// claim reserves one run of a suspect.
type claim struct {
	ID        string   `msgpack:"i"`
	Digest    Digest   `msgpack:"d"`
	Upstreams []string `msgpack:"u"`
	// Alone means that no other suspect may run on the upstreams.
	Alone bool `msgpack:"a,omitempty"`
	// Settled means that the run has begun, or is about to.
	Settled bool `msgpack:"s,omitempty"`
	// Lasting is how long the claim holds if its end isn't heard of.
	Lasting time.Duration `msgpack:"t"`
}

// claimEnd ends a claim.
type claimEnd struct {
	ID string `msgpack:"i"`
}

// knownClaim is a claim of this process or another one.
type knownClaim struct {
	claim
	// writer is the process that made it.
	writer string
	until  time.Time
	own    bool
}

// conflictsWith reports whether two claims can't hold at the same time.
func (c *claim) conflictsWith(other *claim) bool {
	if c.ID == other.ID {
		return false
	}
	return c.Digest == other.Digest || (c.Alone || other.Alone) && c.sharesUpstream(other.Upstreams)
}

func (c *claim) sharesUpstream(upstreams []string) bool {
	return slices.ContainsFunc(c.Upstreams, func(u string) bool { return slices.Contains(upstreams, u) })
}

// precedes reports which one of two conflicting claims holds. All processes decide it in the same
// way.
func (c *claim) precedes(other *claim) bool {
	if c.Settled != other.Settled {
		return c.Settled
	}
	return c.ID < other.ID
}

// Claim is a suspect's reservation among all processes that reports reach.
type Claim struct {
	guard *Guard
	id    string
	once  sync.Once
}

// Claim reserves one run of a suspect on upstreams. It returns ErrReserved if another run of it has
// a claim, or another suspect's claim keeps it from an upstream. Processes that can't reach each
// other each make claims of their own. The caller must end the claim.
func (g *Guard) Claim(ctx context.Context, d Digest, lasting time.Duration, upstreams ...string) (*Claim, error) {
	c, ok := g.beginClaim(d, min(lasting, maxClaimTime), upstreams)
	if !ok {
		return nil, ErrReserved
	}
	g.passClaim(message{Claim: &c})
	timer := time.NewTimer(claimSettle)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	held := &Claim{guard: g, id: c.ID}
	if !g.settleClaim(c.ID) {
		held.End()
		return nil, ErrReserved
	}
	return held, nil
}

// beginClaim records a claim that no known one conflicts with.
func (g *Guard) beginClaim(d Digest, lasting time.Duration, upstreams []string) (claim, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := claim{ID: uuid.NewString(), Digest: d, Upstreams: upstreams, Alone: g.runsAlone(d), Lasting: lasting}
	for _, other := range g.currentClaims() {
		if c.conflictsWith(&other.claim) {
			return c, false
		}
	}
	g.addClaim(c, g.writer, true)
	return c, true
}

// settleClaim reports whether a claim of this process still holds, and makes it final.
func (g *Guard) settleClaim(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.claims[id]
	if c == nil {
		return false
	}
	c.Settled = true
	return true
}

// End ends the claim. Further calls do nothing.
func (c *Claim) End() {
	c.once.Do(func() {
		c.guard.mu.Lock()
		c.guard.dropClaim(c.id)
		c.guard.mu.Unlock()
		tell := func() { c.guard.passClaim(message{ClaimEnd: &claimEnd{c.id}}) }
		tell()
		for _, d := range claimEndRepeats {
			time.AfterFunc(d, tell)
		}
	})
}

// hearClaim processes another process's claim. It returns the claims of this process that the other
// one must not have heard of.
func (g *Guard) hearClaim(c claim, writer string) []claim {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.Lasting = min(c.Lasting, maxClaimTime)
	var unheard []claim
	for _, own := range g.currentClaims() {
		switch {
		case !own.own || !own.conflictsWith(&c):
		case c.precedes(&own.claim):
			if !own.Settled {
				g.dropClaim(own.ID)
			}
		default:
			unheard = append(unheard, own.claim)
		}
	}
	g.addClaim(c, writer, false)
	return unheard
}

// addClaim records a claim. The caller holds g.mu.
func (g *Guard) addClaim(c claim, writer string, own bool) {
	if len(g.claims) < maxClaims || own {
		g.claims[c.ID] = &knownClaim{claim: c, writer: writer, until: g.now().Add(c.Lasting), own: own}
	}
}

// Restarted drops the claims of another process, by the name of the journal's writer, which has started again: what ran by
// them ended with it.
func (g *Guard) Restarted(writer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, c := range g.claims {
		if c.writer == writer && !c.own {
			g.dropClaim(id)
		}
	}
}

// dropClaim drops a claim. The caller holds g.mu.
func (g *Guard) dropClaim(id string) {
	if _, known := g.claims[id]; known {
		delete(g.claims, id)
		g.notify()
	}
}

// currentClaims returns the claims in force. The caller holds g.mu.
func (g *Guard) currentClaims() map[string]*knownClaim {
	now := g.now()
	for id, c := range g.claims {
		if !c.until.After(now) && (!c.own || c.Settled) {
			delete(g.claims, id)
		}
	}
	return g.claims
}

// runsAlone reports whether a suspect shares no upstream with other suspects. The caller holds g.mu.
func (g *Guard) runsAlone(d Digest) bool { return len(g.verdict(d).Upstreams) >= aloneAfter }

// passClaim passes a message about a claim on to other processes. The journal doesn't get it: a
// claim ends within seconds.
func (g *Guard) passClaim(m message) {
	if g.publish != nil {
		g.pass(entryOf(g.kind, uuid.NewString(), g.writer, m))
	}
}

// hearOfClaim processes a report about a claim, and reports whether it is one.
func (g *Guard) hearOfClaim(m message, writer string) bool {
	switch {
	case m.Claim != nil:
		for _, own := range g.hearClaim(*m.Claim, writer) {
			g.passClaim(message{Claim: &own})
		}
	case m.ClaimEnd != nil:
		g.mu.Lock()
		g.dropClaim(m.ClaimEnd.ID)
		g.mu.Unlock()
	default:
		return false
	}
	return true
}

// Reservations are what the claims in force mean for one suspect.
type Reservations struct {
	// Running means that another run of it has a claim.
	Running bool
	// Reserved are the upstreams on which it must not run, Claimed those on which any suspect runs.
	Reserved, Claimed []string
}

// Reservations returns what the claims in force mean for a digest.
func (g *Guard) Reservations(d Digest) Reservations {
	g.mu.Lock()
	defer g.mu.Unlock()
	var r Reservations
	alone := g.runsAlone(d)
	for _, c := range g.currentClaims() {
		r.Claimed = append(r.Claimed, c.Upstreams...)
		if c.Digest == d {
			r.Running = true
		} else if alone || c.Alone {
			r.Reserved = append(r.Reserved, c.Upstreams...)
		}
	}
	return r
}

// Changed returns a channel that is closed when a claim ends or a verdict may have changed.
func (g *Guard) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.news
}

// notify wakes those who wait for a change. The caller holds g.mu.
func (g *Guard) notify() {
	close(g.news)
	g.news = make(chan struct{})
}
