package standin

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tamarackchute/router"
)

// blockTokens is the length of a prefix block.
const blockTokens = router.BlockTokens

// blockKey identifies a cached prefix block of a model.
type blockKey struct {
	model uint64
	hash  uint64
}

func modelKey(model string) uint64 { return xxhash.Sum64String(model) }

// kvCache tracks an engine's KV memory, in tokens. Sequences share prefix blocks; a block
// that no sequence uses stays cached until its memory is needed, and the least recently
// used is evicted first.
type kvCache struct {
	total         int
	privateTokens int // tokens that aren't shared between sequences
	pinned        map[blockKey]int
	idle          *simplelru.LRU[blockKey, struct{}]
	// event is called for each block that is stored or removed.
	event func(block uint64, stored bool)
}

func newKVCache(total int, event func(block uint64, stored bool)) *kvCache {
	idle, err := simplelru.NewLRU[blockKey, struct{}](math.MaxInt, nil)
	if err != nil {
		panic(err)
	}
	return &kvCache{total: total, pinned: map[blockKey]int{}, idle: idle, event: event}
}

// used returns the tokens that can't be evicted.
func (c *kvCache) used() int { return len(c.pinned)*blockTokens + c.privateTokens }

// reserve pins a sequence's blocks and allocates its private tokens. It returns how many
// leading blocks were cached, or allocates nothing and returns false if the memory doesn't
// suffice.
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

// release frees what reserve allocated. Only the first prefilledBlocks hold a valid cache;
// the others are removed.
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

// evict removes unpinned blocks until the memory suffices.
func (c *kvCache) evict() {
	for c.used()+c.idle.Len()*blockTokens > c.total {
		k, _, ok := c.idle.RemoveOldest()
		if !ok {
			return
		}
		c.event(k.hash, false)
	}
}

// clear removes everything; with notify it emits an event for each block.
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
