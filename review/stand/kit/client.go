package kit

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Host is the host of all routes.
const Host = "ficu95.example"

// Clients send requests as the pages say: each new connection goes to an address that the directory names,
// and a request that is refused is tried once more under an ID of its own.
type Clients struct {
	site *Site
	next atomic.Int64
	http *http.Client

	mu        sync.Mutex
	addresses []string
	fetched   time.Time
	ttl       time.Duration
	attempts  []*Attempt
}

// Attempt is one client attempt: a request with an ID of its own.
type Attempt struct {
	ID, Kind, Method, Path string
	SentAt                 float64
	Status                 int
	Body, Stamp            string
	Err                    string
	EndedAt                float64
}

// NewClients returns clients of a site. They have n IP addresses from first on; each connection has one of them.
func (s *Site) NewClients(first, n int) *Clients {
	c := &Clients{site: s}
	c.http = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 3 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			from := net.ParseIP(fmt.Sprintf("%s.%d", s.Network, first+rand.IntN(n)))
			dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: from}}
			return dialer.DialContext(ctx, network, c.front())
		},
	}}
	return c
}

// front returns the address for a new connection.
func (c *Clients) front() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.fetched) > c.ttl {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return c.site.Daemons[0].Front()
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// resolve asks up to three daemons. c.mu is held.
func (c *Clients) resolve() {
	client := http.Client{Timeout: time.Second}
	order := rand.Perm(len(c.site.Daemons))
	for _, i := range order[:min(3, len(order))] {
		resp, err := client.Get("http://" + c.site.Daemons[i].Directory() + "/-/resolve?Name=" + Host + "&Region=r&Zone=a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string
			TtlS      float64
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses, c.fetched, c.ttl = answer.Addresses, time.Now(), time.Duration(min(5, answer.TtlS)*float64(time.Second))
		return
	}
}

// Request sends one request, and once more if it is refused with a time to come back.
func (c *Clients) Request(kind, method, path, body string, deadline time.Duration, header http.Header) *Attempt {
	began := time.Now()
	a := c.attempt(kind, method, path, body, deadline, header)
	wait, again := c.mayRetry(a, method)
	left := deadline - time.Since(began) - wait
	if !again || left < 20*time.Millisecond {
		return a
	}
	time.Sleep(wait)
	return c.attempt(kind, method, path, body, left, header)
}

func (c *Clients) mayRetry(a *Attempt, method string) (time.Duration, bool) {
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		seconds, _ := strconv.ParseFloat(a.Stamp, 64)
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, method == http.MethodGet && (a.Status == 0 || a.Status >= 500)
}

func (c *Clients) attempt(kind, method, path, body string, deadline time.Duration, header http.Header) *Attempt {
	a := &Attempt{ID: fmt.Sprintf("%016x", c.next.Add(1)), Kind: kind, Method: method, Path: path, SentAt: c.site.Record.Since()}
	defer func() {
		a.EndedAt = c.site.Record.Since()
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+Host+path, content)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	a.Status, a.Body, a.Stamp = resp.StatusCode, string(text), resp.Header.Get("X-Server-Stamp")
	if a.Stamp == "" {
		a.Stamp = resp.Header.Get("Retry-After")
	}
	return a
}

// Load sends requests at a rate until the context ends.
func (c *Clients) Load(ctx context.Context, perSecond float64, send func()) {
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		wg.Go(send)
	}
}

// Attempts returns all attempts that have ended.
func (c *Clients) Attempts() []*Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Attempt(nil), c.attempts...)
}
