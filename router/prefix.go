package router

import (
	"time"

	"tamarackchute/upstream"
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

// PrefixIndex knows which engine's cache should hold which prefix block.
type PrefixIndex struct{}

// lookUp appends the engines that should hold the longest beginnings.
func (x *PrefixIndex) lookUp(dst []Match, blocks []uint64, now time.Time) []Match { return dst }

// NewPrefixIndex makes an index of at most a number of blocks.
func NewPrefixIndex(blocks int, halfLife time.Duration) *PrefixIndex { return &PrefixIndex{} }

func (x *PrefixIndex) apply(engine int32, events []upstream.CacheEvent, now time.Time) {}

func (x *PrefixIndex) predict(engine int32, blocks []uint64, now time.Time) {}
