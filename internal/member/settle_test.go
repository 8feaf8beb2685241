package member

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateListener accepts its first connection a while late, as on a machine without a free
// processor.
type lateListener struct {
	net.Listener
	late time.Duration
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	time.Sleep(l.late)
	l.late = 0
	return l.Listener.Accept()
}

// of returns the state of the connection from an address.
func (c *connections) of(address string) http.ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if conn.RemoteAddr().String() == address {
			return state
		}
	}
	return http.StateClosed
}

// A caller sees "connection reset by peer" from a daemon that stops as planned: its request
// had arrived, and waited for the busy daemon to accept it, when that looked whether anything
// was in progress and exited. Once the daemon has settled, the request must be in progress.
func TestSettledDaemonHasReadWhatArrived(t *testing.T) {
	var seen atomic.Int32
	answer := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		<-answer
	}))
	conns := newConnections()
	server.Config.ConnState = conns.note
	server.Listener = &lateListener{Listener: server.Listener, late: settleTimeout / 2}
	server.Start()
	defer server.Close()
	defer close(answer)
	address := server.Listener.Addr().String()

	caller, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Zero(t, seen.Load(), "it is not accepted yet")

	conns.settle(address, slog.New(slog.DiscardHandler))
	require.Equal(t, http.StateActive, conns.of(caller.LocalAddr().String()))
	require.Eventually(t, func() bool { return seen.Load() == 1 }, time.Minute, time.Millisecond)
}
