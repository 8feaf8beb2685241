package placement

import lru "github.com/hashicorp/golang-lru/v2/simplelru"

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
}

func newCacheBelief(kvTokens int) *cacheBelief {
	c := &cacheBelief{capacity: int(float64(kvTokens) * cacheShare)}
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
		c.parts.Add(parts[i].ID, parts[i].Tokens)
		c.tokens += parts[i].Tokens
	}
	for c.tokens > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}

// kept returns how many tokens from the beginning of a prompt are kept.
func (c *cacheBelief) kept(parts []Part) int {
	for i := len(parts) - 1; i >= 0; i-- {
		if c.parts.Contains(parts[i].ID) {
			return sumTokens(parts[:i+1])
		}
	}
	return 0
}
