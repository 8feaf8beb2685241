// Package callerwatch detects callers that have closed their connection. fasthttp reads
// a connection only between requests and doesn't end the request's context on a close,
// so a handler would keep an engine busy. The watcher polls the sockets for POLLRDHUP,
// which reports a close or half-close and leaves bytes of a pipelined request unread.
package callerwatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrGone is the cause of a context that ended because its caller has closed the
// connection. Closing only the sending side counts too, as with net/http.
var ErrGone = errors.New("the caller has closed its connection")

// Interval is the time between two polls. A closed connection is detected after at
// most twice this time.
const Interval = 200 * time.Millisecond

// Watcher polls the connections of requests in progress. A request that ends within
// an interval is polled by Check only.
type Watcher struct {
	mu     sync.Mutex
	active map[*Registration]struct{}
}

// New returns a watcher without connections. It detects nothing until Serve runs.
func New() *Watcher { return &Watcher{active: map[*Registration]struct{}{}} }

// Registration is one request whose connection is watched.
type Registration struct {
	watcher *Watcher
	conn    syscall.RawConn
	cancel  context.CancelCauseFunc
	// swept is set by the first sweep after Add; only later sweeps poll the connection.
	swept bool
}

// Add watches a connection until Remove and calls cancel with ErrGone if the caller
// closes it. It returns nil for a connection that has no pollable socket.
func (w *Watcher) Add(conn net.Conn, cancel context.CancelCauseFunc) *Registration {
	raw := rawConn(conn)
	if raw == nil {
		return nil
	}
	r := &Registration{watcher: w, conn: raw, cancel: cancel}
	w.mu.Lock()
	w.active[r] = struct{}{}
	w.mu.Unlock()
	return r
}

// Check looks at the connection at once: the caller may have closed it before its request was read. It may be called on nil.
func (r *Registration) Check() {
	if r != nil && peerClosed(r.conn) {
		r.cancel(ErrGone)
		r.Remove()
	}
}

// Remove stops watching the connection. It may be called on nil.
func (r *Registration) Remove() {
	if r == nil {
		return
	}
	r.watcher.mu.Lock()
	delete(r.watcher.active, r)
	r.watcher.mu.Unlock()
}

// Serve polls the connections at each interval until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			w.sweep()
		}
	}
}

func (w *Watcher) sweep() {
	for _, r := range w.due() {
		r.Check()
	}
}

func (w *Watcher) due() []*Registration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []*Registration
	for r := range w.active {
		if r.swept {
			due = append(due, r)
		}
		r.swept = true
	}
	return due
}

// netConner is a connection that wraps another one, such as a TLS connection.
type netConner interface{ NetConn() net.Conn }

func rawConn(conn net.Conn) syscall.RawConn {
	for {
		inner, ok := conn.(netConner)
		if !ok {
			break
		}
		conn = inner.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// peerClosed reports whether the peer has closed, half-closed or reset the connection.
// Control keeps the descriptor from being closed and reused meanwhile.
func peerClosed(conn syscall.RawConn) bool {
	closed := false
	err := conn.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}
