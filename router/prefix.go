package router

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tamarackchute/upstream"
)

// Parameters of the index's confidence that an engine holds a block.
const (
	// maxHoldersPerBlock bounds the engines kept for a block. A prefix that more
	// engines hold favours none of them.
	maxHoldersPerBlock = 6
	// predictedUncertainty applies to a block that was sent to an engine but not
	// yet reported: it may not fit, or the attempt may fail.
	predictedUncertainty = 0.25
	// lostCacheUncertainty is added when an engine has lost its cache.
	lostCacheUncertainty = 20.0
	// prefixShards is the number of shards, each with its own lock.
	prefixShards = 16
)

// Match is an engine whose cache is expected to hold a prefix of the prompt.
type Match struct {
	// Engine is the engine's number in the index.
	Engine int32
	// Blocks is the number of blocks that it is expected to hold.
	Blocks int
	// Confidence is the confidence in that, from 0 to 1.
	Confidence float64
}

// PrefixIndex records which engines' caches hold which prefix blocks, from their
// cache events and from prompts sent to them. The least recently updated blocks
// are evicted.
type PrefixIndex struct {
	epoch  time.Time
	rate   float64 // uncertainty added a second
	shards [prefixShards]prefixShard

	mu      sync.RWMutex
	engines []engineEvents
}

// engineEvents is the state of one engine's events. Uncertainty is the negative
// logarithm of confidence and accumulates over time and with gaps in the events. An
// entry holds the sum at its creation; its confidence is exp(-d) for the growth d
// since then. So a gap lowers the confidence of all entries without visiting them.
type engineEvents struct {
	lastSeq     uint64
	uncertainty float64 // in addition to that of time
	blocks      int     // approximate number of entries
}

type prefixShard struct {
	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, holders]
}

// holders lists the engines that are expected to hold a block, the newest last.
type holders struct {
	n       int
	entries [maxHoldersPerBlock]holder
}

// holder is an engine with its accumulated uncertainty at the time of the entry.
type holder struct {
	engine      int32
	uncertainty float32
}

// NewPrefixIndex returns an index of at most the given number of blocks, with
// entries whose confidence halves in halfLife.
func NewPrefixIndex(blocks int, halfLife time.Duration) *PrefixIndex {
	x := &PrefixIndex{rate: math.Ln2 / max(1, halfLife.Seconds())}
	size := max(1, blocks/prefixShards)
	for i := range x.shards {
		// The size is at least 1, so that NewLRU can't fail.
		x.shards[i].blocks, _ = simplelru.NewLRU[uint64, holders](size, nil)
	}
	return x
}

// Len returns the number of blocks in the index.
func (x *PrefixIndex) Len() int {
	n := 0
	for i := range x.shards {
		x.shards[i].mu.Lock()
		n += x.shards[i].blocks.Len()
		x.shards[i].mu.Unlock()
	}
	return n
}

func (x *PrefixIndex) shard(block uint64) *prefixShard { return &x.shards[block%prefixShards] }

// engine returns an engine's state, and creates it if needed. x.mu is held.
func (x *PrefixIndex) engine(id int32, now time.Time) *engineEvents {
	if x.epoch.IsZero() {
		x.epoch = now
	}
	for int(id) >= len(x.engines) {
		x.engines = append(x.engines, engineEvents{})
	}
	return &x.engines[id]
}

// uncertaintyAt is an engine's accumulated uncertainty. x.mu is held at least for
// reading.
func (x *PrefixIndex) uncertaintyAt(id int32, now time.Time) float64 {
	if int(id) >= len(x.engines) {
		return lostCacheUncertainty
	}
	return x.engines[id].uncertainty + x.rate*now.Sub(x.epoch).Seconds()
}

// apply processes an engine's cache events in sequence order.
func (x *PrefixIndex) apply(id int32, events []upstream.CacheEvent, now time.Time) {
	for _, ev := range events {
		uncertainty, ok := x.advanceSeq(id, ev.Seq, now)
		if !ok {
			continue
		}
		added := x.setHolder(id, ev.Block, ev.Stored, float32(uncertainty))
		x.addBlockCount(id, added, now)
	}
}

// advanceSeq records an event's sequence number and returns false for a duplicate.
// After a gap, blocks may have been evicted unseen: missed events out of b known
// blocks scale confidence by b/(b+missed). A lower number means that the engine
// restarted with an empty cache.
func (x *PrefixIndex) advanceSeq(id int32, seq uint64, now time.Time) (float64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engine(id, now)
	switch {
	case seq == e.lastSeq:
		return 0, false
	case seq < e.lastSeq:
		e.uncertainty += lostCacheUncertainty
		e.blocks = 0
	case e.lastSeq > 0 && seq > e.lastSeq+1 && e.blocks > 0:
		missed := float64(seq - e.lastSeq - 1)
		known := float64(e.blocks)
		e.uncertainty += math.Log((known + missed) / known)
	}
	e.lastSeq = seq
	return x.uncertaintyAt(id, now), true
}

func (x *PrefixIndex) addBlockCount(id int32, added int, now time.Time) {
	if added == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engine(id, now)
	e.blocks = max(0, e.blocks+added)
}

// addPredicted records that a prompt was sent to an engine, which will then hold
// its blocks.
func (x *PrefixIndex) addPredicted(id int32, blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	x.mu.Lock()
	x.engine(id, now)
	uncertainty := x.uncertaintyAt(id, now) - predictedUncertainty
	x.mu.Unlock()
	added := 0
	for _, b := range blocks {
		added += x.setHolder(id, b, true, float32(uncertainty))
	}
	x.addBlockCount(id, added, now)
}

// invalidate records that an engine has lost its cache.
func (x *PrefixIndex) invalidate(id int32, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engine(id, now)
	e.uncertainty += lostCacheUncertainty
	e.blocks = 0
	e.lastSeq = 0
}

// setHolder adds or removes an entry and returns the change in their number.
func (x *PrefixIndex) setHolder(id int32, block uint64, stored bool, uncertainty float32) int {
	s := x.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.blocks.Peek(block)
	if !known && !stored {
		return 0
	}
	before := h.n
	replaced := h.remove(id)
	if stored {
		if replaced != nil {
			uncertainty = max(uncertainty, replaced.uncertainty)
		}
		h.add(holder{id, uncertainty})
	}
	if h.n == 0 {
		s.blocks.Remove(block)
	} else {
		s.blocks.Add(block, h)
	}
	return h.n - before
}

// remove removes an engine and returns its former entry, or nil if it had none.
func (h *holders) remove(id int32) *holder {
	for i := range h.n {
		if h.entries[i].engine != id {
			continue
		}
		old := h.entries[i]
		copy(h.entries[i:], h.entries[i+1:h.n])
		h.n--
		return &old
	}
	return nil
}

// add appends an entry and evicts the oldest if there is no room.
func (h *holders) add(n holder) {
	if h.n == maxHoldersPerBlock {
		copy(h.entries[:], h.entries[1:])
		h.n--
	}
	h.entries[h.n] = n
	h.n++
}

// get returns a block's holders.
func (x *PrefixIndex) get(block uint64) (holders, bool) {
	s := x.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blocks.Peek(block)
}

// lookup appends the engines that are expected to hold the longest prefixes.
// Blocks are chained, so an engine that holds one has held all before it: bisection
// finds the deepest known block, and a few shallower ones are looked up for engines
// that hold less.
func (x *PrefixIndex) lookup(dst []Match, blocks []uint64, now time.Time) []Match {
	depth := x.knownDepth(blocks)
	if depth == 0 {
		return dst
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	for _, at := range [...]int{depth, depth * 3 / 4, depth / 2, depth / 4} {
		if at == 0 {
			break
		}
		h, _ := x.get(blocks[at-1])
		for i := h.n - 1; i >= 0 && len(dst) < maxMatches; i-- {
			dst = x.appendMatch(dst, h.entries[i], at, now)
		}
	}
	return dst
}

// knownDepth is the number of leading blocks that some engine holds.
func (x *PrefixIndex) knownDepth(blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		mid := (low + high + 1) / 2
		if _, ok := x.get(blocks[mid-1]); ok {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

// minConfidence is the confidence below which a match is ignored.
const minConfidence = 0.05

func (x *PrefixIndex) appendMatch(dst []Match, h holder, blocks int, now time.Time) []Match {
	for _, m := range dst {
		if m.Engine == h.engine {
			return dst
		}
	}
	uncertainty := x.uncertaintyAt(h.engine, now) - float64(h.uncertainty)
	confidence := math.Exp(-max(0, uncertainty))
	if confidence < minConfidence {
		return dst
	}
	return append(dst, Match{h.engine, blocks, confidence})
}
