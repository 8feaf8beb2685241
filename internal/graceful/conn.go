package graceful

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tamarackchute/internal/bodylimit"
)

// conn is a tracked connection from a caller.
type conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	owner *Connections

	accepted time.Time

	// mu is held while bytes are read from the socket, so that none can be on their way
	// to the server unnoticed.
	mu    sync.Mutex
	state http.ConnState
	// responded is when the last response was complete, zero if there was none.
	responded time.Time
	// received means that bytes have been read since the last response.
	received bool
	// progressAt is when the caller last made progress with its request, sinceProgress the bytes received after that.
	progressAt    time.Time
	sinceProgress int
	// headBytes counts what has been read of the request's head, which head holds. headRead means that the head is
	// complete, complete that all of the request is.
	headBytes          int
	head               *bodylimit.Share
	headRead, complete bool
	// evicted means that the connection is closed to make room for others.
	evicted       bool
	countedEnding bool
	// firstReadTimeout is the server's timeout for the first request, 0 if it has set none.
	firstReadTimeout time.Duration
	// closing means that the sending side is closed; data that still arrives is dropped.
	closing bool
	// lingerUntil is when the last response on a closing connection has reached its caller, even
	// if the caller doesn't close.
	lingerUntil time.Time
	// disconnected means that the caller has closed the connection or that it has failed.
	disconnected bool
	// reset means that Close resets the connection.
	reset  bool
	closed bool
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var n int
	var err error
	waitErr := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readAvailable(int(fd), p)
		return !errors.Is(err, unix.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0:
		return 0, io.EOF
	case !c.holdHead():
		return 0, errNoRoom
	}
	return n, nil
}

// errNoRoom ends a connection whose request's head has no room beside those of others.
var errNoRoom = errors.New("graceful: the heads of other requests leave no room")

// readAvailable reads from the socket without blocking. On a closing connection, it drops
// the data and returns 0, the end of the connection.
func (c *conn) readAvailable(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := unix.Read(fd, p)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(fd, p)
	}
	switch {
	case errors.Is(err, unix.EAGAIN):
		return 0, err
	case err != nil || n == 0:
		c.disconnected = true
		return 0, err
	case c.closing:
		return 0, nil
	}
	if !c.received && c.firstReadTimeout > 0 {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(c.firstReadTimeout)) // fails only if the connection has failed
		c.firstReadTimeout = 0
	}
	c.countReceived(n)
	c.received = true
	return n, nil
}

// SetReadDeadline implements net.Conn. It doesn't change the deadline of a connection that is being closed. The
// time for the first request begins with its first byte: a caller may have opened the connection in
// advance, and until then it is as idle as between two requests.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.evicted {
		return nil
	}
	if c.state == http.StateNew && !c.received && t.After(time.Now()) {
		c.firstReadTimeout = time.Until(t)
		t = time.Now().Add(max(c.firstReadTimeout, unusedTimeout))
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// setState records the state that the server reports for the connection.
func (c *conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	if s == http.StateIdle {
		c.received, c.complete, c.headRead = false, false, false
		c.headBytes, c.sinceProgress = 0, 0
		c.responded = time.Now()
		_ = c.head.Hold(0) // fails only for more than before
	}
}

// active reports whether a request is in progress or has partly arrived.
func (c *conn) active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && c.busy()
}

// busy is active for a connection that isn't closing. c.mu is held.
func (c *conn) busy() bool {
	if c.state == http.StateActive || c.receivedRequest() || c.hasUnread() {
		return true
	}
	return c.awaitsFirstRequest()
}

// receivedRequest reports whether bytes of a request have been read. Over TLS, those before the
// first response may be a handshake's. c.mu is held.
func (c *conn) receivedRequest() bool {
	return c.received && (!c.owner.tls || !c.responded.IsZero())
}

// awaitsFirstRequest reports whether the listeners are closed, but the first request may still be
// on its way: the caller has just connected, or uses a connection that it opened in advance. c.mu
// is held.
func (c *conn) awaitsFirstRequest() bool {
	closed := c.owner.listenersClosed.Load()
	if c.state != http.StateNew || closed == nil {
		return false
	}
	return time.Since(*closed) < firstRequestTimeout || time.Since(c.accepted) < firstRequestTimeout
}

// hasUnread reports whether the socket has bytes that the server hasn't read.
func (c *conn) hasUnread() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// callerLeft reports whether the caller has ended the connection, or it has failed.
func (c *conn) callerLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected {
		return true
	}
	n, err := c.peek()
	return n <= 0 && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
}

// peek returns what a read of one byte would return now, 0 bytes without an error for the end of the connection. The byte
// stays unread.
func (c *conn) peek() (n int, err error) {
	var buf [1]byte
	if controlErr := c.raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// closeIfIdle closes the sending side unless a request is in progress. began means that it has
// done so now, and not before.
func (c *conn) closeIfIdle() (closing, began bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true, false
	}
	if c.busy() {
		return false, false
	}
	c.beginClose(c.responded)
	return true, true
}

// beginClose closes the sending side and sets a deadline for the caller to close. responded is
// when the last response was written. c.mu is held.
func (c *conn) beginClose(responded time.Time) {
	c.closing = true
	c.countEnding()
	c.lingerUntil = responded.Add(lingerTimeout)
	// Errors mean that the connection has failed, which the next read reports.
	_ = c.TCPConn.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// mayLoseResponse reports whether the caller may lose the last response if the closing
// connection is dropped now.
func (c *conn) mayLoseResponse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && !c.disconnected && now.Before(c.lingerUntil)
}

// SetLinger implements part of net.TCPConn. With 0, Close resets the connection.
func (c *conn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = sec == 0
	return c.TCPConn.SetLinger(sec)
}

// Close closes the sending side, and the connection once the caller has closed it too or
// lingerTimeout has passed. It doesn't block.
func (c *conn) Close() error {
	over, err := c.markClosed()
	switch {
	case err != nil:
		return err
	case over:
		return c.release() // without the lock: the close of the socket waits for a read in progress, which takes it
	}
	go c.linger()
	return nil
}

// markClosed begins the close and reports whether nothing can be exchanged any more.
func (c *conn) markClosed() (over bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, net.ErrClosed
	}
	c.closed = true
	over = c.disconnected || c.reset
	if !over && !c.closing {
		c.beginClose(time.Now())
	}
	return over, nil
}

// linger drops data that the caller still sends until it closes the connection.
func (c *conn) linger() {
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.TCPConn}) // ends by the caller's close, an error or the deadline
	_ = c.release()
}

func (c *conn) release() error {
	c.owner.remove(c)
	c.head.Release()
	return c.TCPConn.Close()
}
