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
const maxRepeatedKeys = 20

// Ledger counts how often the call of each idempotency key ran. Services that
// could run the same call share one. It outlives crashes: it belongs to the
// observer, not to the service.
type RunCounter struct {
	mu sync.Mutex
	// runs is by the key's hash, to hold millions.
	runs         map[uint64]int
	ranTwice     int64
	repeatedKeys []string
}

// NewLedger returns an empty ledger.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[uint64]int{}} }

// ran notes one run and returns its number, from 1.
func (l *RunCounter) record(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := xxhash.Sum64String(key)
	l.runs[h]++
	n := l.runs[h]
	if n == 2 {
		l.ranTwice++
		if len(l.repeatedKeys) < maxRepeatedKeys {
			l.repeatedKeys = append(l.repeatedKeys, key)
		}
	}
	return n
}

func (l *RunCounter) totals() (keys, ranTwice int64, doubled []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.runs)), l.ranTwice, append([]string{}, l.repeatedKeys...)
}

// leavingMark remembers since when the list has shown a part as leaving.
type terminationMark struct {
	mu    sync.Mutex
	since time.Time
}

func (m *terminationMark) set(now time.Time, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !leaving:
		m.since = time.Time{}
	case m.since.IsZero():
		m.since = now
	}
}

func (m *terminationMark) start() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since
}

func (m *terminationMark) graceExpired(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.since.IsZero() && now.Sub(m.since) > terminationGrace
}

// sendTwice sends the response, and then once more on the same connection, as
// a confused server does that answers a request of long ago.
func sendDuplicate(ctx *fasthttp.RequestCtx) {
	var duplicate fasthttp.Response
	ctx.Response.CopyTo(&duplicate)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		w := bufio.NewWriter(c)
		_ = duplicate.Write(w)
		_ = duplicate.Write(w)
		_ = w.Flush()
		// The connection stays open until its far end has had enough.
		_, _ = c.Read(make([]byte, 1))
	})
}
