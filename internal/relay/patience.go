package relay

import (
	"sync"
	"time"
)

// patienceBook knows how long the callers of each rule usually wait, to tell
// those that ask for the first time from those that come back.
type patienceBook struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

// comeback reports whether a patience is what is left of a longer one.
func (b *patienceBook) comeback(rule string, p time.Duration) bool {
	if p == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.usual == nil {
		b.usual = make(map[string]time.Duration)
	}
	b.usual[rule] = max(b.usual[rule], p)
	return float64(p) < comebackShare*float64(b.usual[rule])
}
