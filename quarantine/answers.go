package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// answers are the complete responses of late, by the first half of the request's digest: it costs
// little for each answer. That requests with one first half may differ costs trials, no more.
type answers struct {
	mu sync.Mutex
	at *simplelru.LRU[uint64, time.Time]
}

func newAnswers() *answers {
	at, _ := simplelru.NewLRU[uint64, time.Time](maxAnswers, nil) // fails only for a size below 1
	return &answers{at: at}
}

func (a *answers) add(head uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at.Add(head, now)
}

func (a *answers) last(head uint64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at.Peek(head)
}

// Completed records that a digest got its complete response, which makes it an
// unlikely cause of the next crash.
func (g *Guard) Completed(d Digest) { g.CompletedHead(d.A) }

// CompletedHead is Completed for a request of which only the first half of the digest is known.
func (g *Guard) CompletedHead(head uint64) { g.completed.add(head, g.now()) }

func (g *Guard) completedRecently(d Digest) bool {
	at, ok := g.completed.last(d.A)
	return ok && g.now().Sub(at) < g.state.cfg.SuspectFor
}

// wasAnswered reports whether a request got a complete response lately, here or according to another
// process. The caller holds g.mu.
func (g *Guard) wasAnswered(d Digest) bool {
	if g.state.cfg.MinAnsweredTrials == 0 || d.IsPart() {
		return false
	}
	known := g.unconfirmed[d]
	return known != nil && known.answered || g.state.wasAnswered(d) || g.completedRecently(d)
}

func (s *State) wasAnswered(d Digest) bool {
	x := s.suspects[d]
	return x != nil && x.answered
}

// answeredOf returns those of digests that got a complete response lately. The caller holds g.mu.
func (g *Guard) answeredOf(digests []Digest) []Digest {
	return slices.DeleteFunc(slices.Clone(digests), func(d Digest) bool { return !g.wasAnswered(d) })
}

// markAnswered records that other processes know of complete responses. The caller holds g.mu.
func (g *Guard) markAnswered(digests []Digest) {
	for _, d := range digests {
		if known := g.unconfirmed[d]; known != nil {
			known.answered = true
		}
	}
}

// lacksAnswer reports whether the journal lacks that a digest was answered. The caller holds g.mu.
func (g *Guard) lacksAnswer(d Digest) bool { return g.wasAnswered(d) && !g.state.wasAnswered(d) }
