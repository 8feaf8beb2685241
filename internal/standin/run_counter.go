package standin

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
)

// maxRepeatedKeys bounds the list of keys whose call ran more than once.
const maxRepeatedKeys = 20

// RunCounter counts how often the call of each idempotency key ran. All services that can
// run the same call share one. It is an observer outside the services, so their crashes
// don't reset it.
type RunCounter struct {
	mu sync.Mutex
	// runs is keyed by the hash of the idempotency key, so that millions of keys fit in
	// memory.
	runs         map[uint64]int
	ranTwice     int64
	repeatedKeys []string
}

// NewRunCounter returns an empty counter.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[uint64]int{}} }

// record counts a run and returns its number, from 1.
func (c *RunCounter) record(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := xxhash.Sum64String(key)
	c.runs[h]++
	n := c.runs[h]
	if n == 2 {
		c.ranTwice++
		if len(c.repeatedKeys) < maxRepeatedKeys {
			c.repeatedKeys = append(c.repeatedKeys, key)
		}
	}
	return n
}

func (c *RunCounter) totals() (keys, ranTwice int64, repeatedKeys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(len(c.runs)), c.ranTwice, append([]string{}, c.repeatedKeys...)
}

// terminationMark records since when the list has shown a component as terminating.
type terminationMark struct {
	mu    sync.Mutex
	since time.Time
}

func (m *terminationMark) set(now time.Time, terminating bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !terminating:
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

// sendDuplicate sends the response twice on the same connection, like a faulty server that
// answers an earlier request again.
func sendDuplicate(ctx *fasthttp.RequestCtx) {
	var duplicate fasthttp.Response
	ctx.Response.CopyTo(&duplicate)
	httpx.SetExchange(&duplicate.Header, &ctx.Request.Header)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		w := bufio.NewWriter(c)
		_ = duplicate.Write(w)
		_ = duplicate.Write(w)
		_ = w.Flush()
		// Keep the connection open until the client sends more data or closes it.
		_, _ = c.Read(make([]byte, 1))
	})
}
