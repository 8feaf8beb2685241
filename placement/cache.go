package placement

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// cacheShare is the share of an engine's KV memory that cached parts are assumed to fill;
// running requests take the rest.
const cacheShare = 0.8

// maxTrackedParts bounds the number of parts tracked per engine.
const maxTrackedParts = 8192

// cacheEstimate estimates which parts an engine has cached: the most recently prefilled
// ones that fit its memory, as engines evict the least recently used parts. A cached part
// implies that the parts before it in the prompt are cached, since it was prefilled after
// them.
type cacheEstimate struct {
	parts    *lru.LRU[uint64, int]
	tokens   int
	capacity int
	// inProgress holds the pending prefills by their last shared part, with the time at
	// which the entry expires. It keeps a second daemon from prefilling the same part on
	// another engine meanwhile.
	inProgress map[uint64]time.Time
	// placeholders numbers the entries that stand for unshared parts of other daemons'
	// prompts.
	placeholders uint64
}

func newCacheEstimate(kvTokens int) *cacheEstimate {
	c := &cacheEstimate{capacity: int(float64(kvTokens) * cacheShare), inProgress: make(map[uint64]time.Time)}
	parts, err := lru.NewLRU(maxTrackedParts, func(_ uint64, tokens int) { c.tokens -= tokens })
	if err != nil { // fails only for a size below 1
		panic(err)
	}
	c.parts = parts
	return c
}

// recordPrefill records that the engine has prefilled a prompt.
func (c *cacheEstimate) recordPrefill(parts []Part) {
	// The first part is added last: it is the one that most requests share.
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

func (c *cacheEstimate) add(p Part) {
	c.parts.Add(p.ID, p.Tokens)
	c.tokens += p.Tokens
}

// applyEvent applies a prefill event that another daemon has reported.
func (c *cacheEstimate) applyEvent(event PrefillEvent, now time.Time) {
	switch event.State {
	case PrefillStarted:
		c.startPrefill(event.LastShared.ID, now)
	case PrefillAbandoned:
		c.endPrefill(event.LastShared.ID)
	case PrefillFinished:
		c.endPrefill(event.LastShared.ID)
		c.placeholders++
		c.recordPrefill([]Part{event.LastShared, {ID: ^c.placeholders, Tokens: event.UnsharedTokens}})
	}
}

// inProgressTimeout is how long a prefill counts as pending without a further event: the
// daemon that sent it may have stopped. Prefills that meet their objective take less.
const inProgressTimeout = 2 * time.Second

func (c *cacheEstimate) startPrefill(last uint64, now time.Time) {
	c.inProgress[last] = now.Add(inProgressTimeout)
}

func (c *cacheEstimate) endPrefill(last uint64) { delete(c.inProgress, last) }

// cachedPrefix returns the length of the prompt's cached prefix.
func (c *cacheEstimate) cachedPrefix(parts []Part, now time.Time) CachedPrefix {
	var prefix CachedPrefix
	for i := len(parts) - 1; i >= 0; i-- {
		if c.parts.Contains(parts[i].ID) {
			prefix.Ready = sumTokens(parts[:i+1])
			break
		}
	}
	prefix.Expected = prefix.Ready
	for i := len(parts) - 1; i >= 0; i-- {
		if now.Before(c.inProgress[parts[i].ID]) {
			prefix.Expected = max(prefix.Expected, sumTokens(parts[:i+1]))
			break
		}
	}
	return prefix
}

// sharedParts returns the parts of a prompt that other requests may share: all but the
// last.
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
