package placement

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// cacheShare is the share of an engine's KV memory that kept parts are believed
// to fill: running requests take the rest.
const cacheShare = 0.8

// maxParts bounds the parts remembered of one engine.
const maxParts = 8192

// cacheBelief guesses which parts an engine keeps: those that it read last, as
// far as its memory goes. Engines drop the least recently used parts too. A part
// that is kept has those before it in the prompt kept as well, since it was read
// behind them.
type cacheBelief struct {
	parts    *lru.LRU[uint64, int]
	tokens   int
	capacity int
	// coming are the prompts being read there, by their last shared part, with the
	// time until which that is believed. They keep a second daemon from having the
	// same part read at another engine in the time that the reading takes.
	coming map[uint64]time.Time
	// fillers tells prompts' own parts of other daemons apart.
	fillers uint64
}

func newCacheBelief(kvTokens int) *cacheBelief {
	c := &cacheBelief{capacity: int(float64(kvTokens) * cacheShare), coming: make(map[uint64]time.Time)}
	parts, err := lru.NewLRU(maxParts, func(_ uint64, tokens int) { c.tokens -= tokens })
	if err != nil { // only a size below 1 is an error
		panic(err)
	}
	c.parts = parts
	return c
}

// read notes that the engine has read a prompt.
func (c *cacheBelief) read(parts []Part) {
	// The first part goes in last: it is the one that most requests share.
	for i := len(parts) - 1; i >= 0; i-- {
		if _, known := c.parts.Get(parts[i].ID); known {
			continue
		}
		c.add(parts[i])
	}
	for c.tokens > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}

func (c *cacheBelief) add(p Part) {
	c.parts.Add(p.ID, p.Tokens)
	c.tokens += p.Tokens
}

// note takes another daemon's word on a prompt.
func (c *cacheBelief) note(r PrefillEvent, now time.Time) {
	switch r.State {
	case PrefillStarted:
		c.begin(r.LastShared.ID, now)
	case PrefillAbandoned:
		c.end(r.LastShared.ID)
	case PrefillFinished:
		c.end(r.LastShared.ID)
		c.fillers++
		c.read([]Part{r.LastShared, {ID: ^c.fillers, Tokens: r.UnsharedTokens}})
	}
}

// comingFor is how long a prompt is believed to be read without a word that it was:
// the daemon that sent it may have ended. Readings in time take less.
const comingFor = 2 * time.Second

func (c *cacheBelief) begin(last uint64, now time.Time) { c.coming[last] = now.Add(comingFor) }

func (c *cacheBelief) end(last uint64) { delete(c.coming, last) }

// kept returns how many tokens from the beginning of a prompt are kept.
func (c *cacheBelief) kept(parts []Part, now time.Time) CachedPrefix {
	var k CachedPrefix
	for i := len(parts) - 1; i >= 0; i-- {
		if c.parts.Contains(parts[i].ID) {
			k.Ready = sumTokens(parts[:i+1])
			break
		}
	}
	k.Expected = k.Ready
	for i := len(parts) - 1; i >= 0; i-- {
		if now.Before(c.coming[parts[i].ID]) {
			k.Expected = max(k.Expected, sumTokens(parts[:i+1]))
			break
		}
	}
	return k
}

// sharedParts returns the parts of a prompt that other requests may share: all
// but the last.
func sharedParts(parts []Part) []Part {
	return parts[:max(0, len(parts)-1)]
}

func sumTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}
