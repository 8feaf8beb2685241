package standin

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tamarackchute/router"
)

// blockTokens is the length of a prefix block.
const blockTokens = router.BlockTokens

// blockKey names a cached prefix block of one model.
type blockKey struct {
	model uint64
	hash  uint64
}

func modelKey(model string) uint64 { return xxhash.Sum64String(model) }

// kvCache accounts for an engine's KV memory, in tokens. Prefix blocks are
// shared between sequences; a block that no sequence uses stays cached until
// its room is wanted, the least recently used first.
type kvCache struct {
	total         int
	privateTokens int // tokens that belong to one sequence each
	pinned        map[blockKey]int
	idle          *simplelru.LRU[blockKey, struct{}]
	// event is told of each block stored or dropped.
	event func(block uint64, stored bool)
}

func newKVCache(total int, event func(block uint64, stored bool)) *kvCache {
	idle, err := simplelru.NewLRU[blockKey, struct{}](math.MaxInt, nil)
	if err != nil {
		panic(err)
	}
	return &kvCache{total: total, pinned: map[blockKey]int{}, idle: idle, event: event}
}

// used returns the tokens that can't be dropped.
func (c *kvCache) used() int { return len(c.pinned)*blockTokens + c.privateTokens }

// reserve pins a sequence's blocks and takes private tokens for it. It returns
// how many leading blocks were there already; without room it takes nothing.
func (c *kvCache) reserve(model uint64, blocks []uint64, privateTokens int) (hits int, ok bool) {
	hits = c.hits(model, blocks)
	unpinned := 0
	for _, b := range blocks {
		if c.pinned[blockKey{model, b}] == 0 {
			unpinned++
		}
	}
	if c.used()+unpinned*blockTokens+privateTokens > c.total {
		return 0, false
	}
	for _, b := range blocks {
		c.pin(blockKey{model, b})
	}
	c.privateTokens += privateTokens
	c.evict()
	return hits, true
}

func (c *kvCache) hits(model uint64, blocks []uint64) int {
	for i, b := range blocks {
		k := blockKey{model, b}
		if c.pinned[k] == 0 && !c.idle.Contains(k) {
			return i
		}
	}
	return len(blocks)
}

func (c *kvCache) pin(k blockKey) {
	if c.pinned[k] == 0 && !c.idle.Remove(k) {
		c.event(k.hash, true)
	}
	c.pinned[k]++
}

// release gives back what reserve took. Only the first computed blocks hold
// valid cache; the rest is dropped.
func (c *kvCache) release(model uint64, blocks []uint64, prefilledBlocks, privateTokens int) {
	c.privateTokens -= privateTokens
	for i, b := range blocks {
		k := blockKey{model, b}
		if c.pinned[k]--; c.pinned[k] > 0 {
			continue
		}
		delete(c.pinned, k)
		if i < prefilledBlocks {
			c.idle.Add(k, struct{}{})
			continue
		}
		c.event(k.hash, false)
	}
	c.evict()
}

// evict drops idle blocks until all fits.
func (c *kvCache) evict() {
	for c.used()+c.idle.Len()*blockTokens > c.total {
		k, _, ok := c.idle.RemoveOldest()
		if !ok {
			return
		}
		c.event(k.hash, false)
	}
}

// clear drops everything; with announce it says so.
func (c *kvCache) clear(notify bool) {
	if notify {
		for _, k := range c.idle.Keys() {
			c.event(k.hash, false)
		}
		for k := range c.pinned {
			c.event(k.hash, false)
		}
	}
	c.idle.Purge()
	clear(c.pinned)
	c.privateTokens = 0
}
