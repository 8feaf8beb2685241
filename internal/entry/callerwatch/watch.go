// Package callerwatch notices callers that have gone.
//
// fasthttp reads a connection only between requests and its request context
// never ends when the caller closes, so a handler that waits for a silent
// engine would wait for nobody. The watch asks the kernel instead: a poll for
// POLLRDHUP tells a connection that the far end has closed, or closed for
// sending, and consumes nothing, so bytes of a pipelined request stay where
// they are.
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

// ErrGone is the cause of a context that ended because its caller has gone. A
// caller that closes only its sending side counts as gone too, as it does for
// net/http.
var ErrGone = errors.New("the caller has closed its connection")

// Interval is how often connections are looked at: a caller's going is noticed
// after at most twice this time.
const Interval = 200 * time.Millisecond

// Watch looks at the connections of requests in progress. A request that ends
// within an interval costs no system call.
type Watcher struct {
	mu     sync.Mutex
	active map[*Registration]struct{}
}

// New returns an empty watch. It notices nothing until Serve runs.
func New() *Watcher { return &Watcher{active: map[*Registration]struct{}{}} }

// Watched is one request under watch.
type Registration struct {
	watcher *Watcher
	conn    syscall.RawConn
	cancel  context.CancelCauseFunc
	// seen is set once a sweep has passed over the request: only those older
	// than that are looked at.
	swept bool
}

// Add watches a connection until Remove, and calls cancel with ErrGone if its
// caller goes. A connection of a kind that can't be asked is not watched.
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

// Remove ends the watch of a request. It may be called on nil.
func (r *Registration) Remove() {
	if r == nil {
		return
	}
	r.watcher.mu.Lock()
	delete(r.watcher.active, r)
	r.watcher.mu.Unlock()
}

// Serve looks at the connections at each interval until ctx ends.
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
		if peerClosed(r.conn) {
			r.cancel(ErrGone)
			r.Remove()
		}
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

// netConner is a connection around another, as a TLS connection is.
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

// gone reports whether the far end has closed or reset the connection. The
// descriptor can't be closed and given to another file while Control runs.
func peerClosed(conn syscall.RawConn) bool {
	closed := false
	err := conn.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}
