package standin

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// maxDoubled bounds the doubled keys that are kept by name.
const maxDoubled = 20

// Ledger counts how often the call of each idempotency key ran. Services that
// could run the same call share one. It outlives crashes: it belongs to the
// observer, not to the service.
type RunCounter struct {
	mu sync.Mutex
	// runs is by the key's hash, to hold millions.
	runs     map[uint64]int
	ranTwice int64
	doubled  []string
}

// NewLedger returns an empty ledger.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[uint64]int{}} }

// ran notes one run and returns its number, from 1.
func (l *RunCounter) ran(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := xxhash.Sum64String(key)
	l.runs[h]++
	n := l.runs[h]
	if n == 2 {
		l.ranTwice++
		if len(l.doubled) < maxDoubled {
			l.doubled = append(l.doubled, key)
		}
	}
	return n
}

func (l *RunCounter) totals() (keys, ranTwice int64, doubled []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.runs)), l.ranTwice, append([]string{}, l.doubled...)
}

// leavingMark remembers since when the list has shown a part as leaving.
type leavingMark struct {
	mu    sync.Mutex
	since time.Time
}

func (m *leavingMark) set(now time.Time, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !leaving:
		m.since = time.Time{}
	case m.since.IsZero():
		m.since = now
	}
}

func (m *leavingMark) begun() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since
}

func (m *leavingMark) overdue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.since.IsZero() && now.Sub(m.since) > leavingGrace
}

// sendTwice sends the response, and then once more on the same connection, as
// a confused server does that answers a request of long ago.
func sendTwice(ctx *fasthttp.RequestCtx) {
	var again fasthttp.Response
	ctx.Response.CopyTo(&again)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		w := bufio.NewWriter(c)
		_ = again.Write(w)
		_ = again.Write(w)
		_ = w.Flush()
		// The connection stays open until its far end has had enough.
		_, _ = c.Read(make([]byte, 1))
	})
}
