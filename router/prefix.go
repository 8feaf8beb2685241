package router

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tamarackchute/upstream"
)

// The parts of a belief that an engine holds a block.
const (
	// holdersPerBlock bounds the engines remembered for a block. A beginning
	// that more engines share draws requests nowhere in particular.
	maxHoldersPerBlock = 6
	// predictedDoubt is the doubt in a block that was sent there but not yet
	// reported: it may not fit, or the attempt may fail.
	predictedUncertainty = 0.25
	// forgotten is the doubt added when an engine has lost its cache.
	lostCacheUncertainty = 20.0
	// prefixShards is the number of parts with a lock each.
	prefixShards = 16
)

// Match is an engine whose cache should hold a prompt's beginning.
type Match struct {
	// Engine is the engine's number in the index.
	Engine int32
	// Blocks is how many blocks from the beginning it should hold.
	Blocks int
	// Confidence is how far that is to be believed, 0 to 1.
	Confidence float64
}

// PrefixIndex knows which engine's cache should hold which prefix block, from
// the engines' cache events and from what was sent to them. Memory is bounded:
// the blocks that were mentioned least recently are forgotten.
//
// Each engine has a sum of doubt that grows with time and with each gap in its
// events; a belief keeps the sum as it stood when it was formed. What has been
// added since is its own doubt d, and its confidence exp(-d). So a gap makes all
// older beliefs about an engine doubtful at once, without a walk over them.
type PrefixIndex struct {
	epoch  time.Time
	rate   float64 // doubt added a second
	shards [prefixShards]prefixShard

	mu      sync.RWMutex
	engines []engineEvents
}

// engineDoubt is the state of one engine's events.
type engineEvents struct {
	lastSeq     uint64
	uncertainty float64 // beside that of time
	blocks      int     // beliefs held, roughly
}

type prefixShard struct {
	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, holders]
}

// holders are the engines that should hold a block, the newest last.
type holders struct {
	n       int
	entries [maxHoldersPerBlock]holder
}

// holder is one belief: an engine, and its doubt when the belief was formed.
type holder struct {
	engine      int32
	uncertainty float32
}

// NewPrefixIndex makes an index of at most a number of blocks, in which a
// belief counts half after a time.
func NewPrefixIndex(blocks int, halfLife time.Duration) *PrefixIndex {
	x := &PrefixIndex{rate: math.Ln2 / max(1, halfLife.Seconds())}
	size := max(1, blocks/prefixShards)
	for i := range x.shards {
		// The size is at least 1, so that NewLRU can't fail.
		x.shards[i].blocks, _ = simplelru.NewLRU[uint64, holders](size, nil)
	}
	return x
}

// Len returns the number of blocks known.
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

// engine returns an engine's state, made if needed. x.mu is held.
func (x *PrefixIndex) engine(id int32, now time.Time) *engineEvents {
	if x.epoch.IsZero() {
		x.epoch = now
	}
	for int(id) >= len(x.engines) {
		x.engines = append(x.engines, engineEvents{})
	}
	return &x.engines[id]
}

// doubtNow is an engine's sum of doubt. x.mu is held at least for reading.
func (x *PrefixIndex) uncertaintyAt(id int32, now time.Time) float64 {
	if int(id) >= len(x.engines) {
		return lostCacheUncertainty
	}
	return x.engines[id].uncertainty + x.rate*now.Sub(x.epoch).Seconds()
}

// apply takes an engine's cache events in order of their numbers.
func (x *PrefixIndex) apply(id int32, events []upstream.CacheEvent, now time.Time) {
	for _, ev := range events {
		doubt, ok := x.advanceSeq(id, ev.Seq, now)
		if !ok {
			continue
		}
		added := x.setHolder(id, ev.Block, ev.Stored, float32(doubt))
		x.addBlockCount(id, added, now)
	}
}

// follow moves an engine's sequence on. A gap means that blocks may have been
// dropped unseen: missed events out of b known blocks make each belief worth
// b/(b+missed). A number that goes back means that the engine has started
// anew, with an empty cache. It returns false for an event already seen.
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

// predict notes that a prompt was sent to an engine, which will then hold it.
func (x *PrefixIndex) addPredicted(id int32, blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	x.mu.Lock()
	x.engine(id, now)
	doubt := x.uncertaintyAt(id, now) - predictedUncertainty
	x.mu.Unlock()
	added := 0
	for _, b := range blocks {
		added += x.setHolder(id, b, true, float32(doubt))
	}
	x.addBlockCount(id, added, now)
}

// forget says that an engine has lost its cache.
func (x *PrefixIndex) invalidate(id int32, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engine(id, now)
	e.uncertainty += lostCacheUncertainty
	e.blocks = 0
	e.lastSeq = 0
}

// set adds or removes a belief and returns the change in their number.
func (x *PrefixIndex) setHolder(id int32, block uint64, stored bool, doubt float32) int {
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
			doubt = max(doubt, replaced.uncertainty)
		}
		h.add(holder{id, doubt})
	}
	if h.n == 0 {
		s.blocks.Remove(block)
	} else {
		s.blocks.Add(block, h)
	}
	return h.n - before
}

// remove takes an engine out and returns its former belief, nil if none.
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

// add appends a belief; the oldest gives way.
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

// lookUp appends the engines that should hold the longest beginnings. The
// blocks are chained, so a cache that holds one held all before it; the deepest
// known block is found by bisection, and then some shallower ones are looked
// at for engines that hold less.
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

// depth is the number of blocks from the beginning that some engine holds.
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

// leastConfidence is the belief below which a match isn't worth following.
const minConfidence = 0.05

func (x *PrefixIndex) appendMatch(dst []Match, h holder, blocks int, now time.Time) []Match {
	for _, m := range dst {
		if m.Engine == h.engine {
			return dst
		}
	}
	doubt := x.uncertaintyAt(h.engine, now) - float64(h.uncertainty)
	confidence := math.Exp(-max(0, doubt))
	if confidence < minConfidence {
		return dst
	}
	return append(dst, Match{h.engine, blocks, confidence})
}
