package member

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// settleTimeout bounds each of the two waits of settle; stopMargin leaves time for both.
	settleTimeout = 150 * time.Millisecond
	// settleEvery is how often settle looks again.
	settleEvery = 2 * time.Millisecond
)

// connections follows the connections of a server.
type connections struct {
	mu sync.Mutex
	// states holds those on which nothing was read yet, and those with a request that is
	// being read or answered.
	states map[net.Conn]http.ConnState
}

func newConnections() *connections {
	return &connections{states: make(map[net.Conn]http.ConnState)}
}

// note is the server's ConnState hook.
func (c *connections) note(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		c.states[conn] = s
	default:
		delete(c.states, conn)
	}
}

// in returns the number of connections in a state.
func (c *connections) in(s http.ConnState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, state := range c.states {
		if state == s {
			n++
		}
	}
	return n
}

// settle returns once the connections that callers had opened before have been accepted and
// what they had sent on them is being read, or when it has taken too long: a caller may open
// a connection and send nothing. It calls the server itself, with a request that no handler
// sees: connections are accepted in their order, so all before this one have been.
func (c *connections) settle(address string, log *slog.Logger) {
	if err := callSelf(address); err != nil {
		log.Warn("own callers' address doesn't answer; requests may be left unread", "address", address, "err", err)
		return
	}
	for until := time.Now().Add(settleTimeout); c.in(http.StateNew) > 0 && time.Now().Before(until); {
		time.Sleep(settleEvery)
	}
}

func callSelf(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+address, nil)
	if err != nil {
		return eris.Wrap(err, "a call to itself")
	}
	request.URL = &url.URL{Scheme: "http", Host: address, Opaque: "*"}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return eris.Wrap(err, "a call to itself")
	}
	return answer.Body.Close()
}
