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
)

// conn is a connection from a caller.
type conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	owner *Connections

	accepted time.Time

	// mu is held while bytes are taken from the kernel, so that none are on their way
	// to the server unnoticed.
	mu    sync.Mutex
	state http.ConnState
	// arrived says that bytes have been read since the last answer.
	received bool
	// ending says that the sending side is closed: what still arrives is dropped.
	closing bool
	// over says that the caller has closed, or that the connection has failed.
	disconnected bool
	closed       bool
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
	}
	return n, nil
}

// take reads what the kernel has, without waiting. What arrives on a connection that is ending
// is dropped, and stands for its end.
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
	c.received = true
	return n, nil
}

// SetReadDeadline implements net.Conn. The bound on a connection that is ending stays.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// note takes over the server's word on the connection.
func (c *conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	if s == http.StateIdle {
		c.received = false
	}
}

// active reports whether a request is in progress or has arrived in part.
func (c *conn) active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && c.busy()
}

// busy is active of a connection that isn't ending. c.mu is held.
func (c *conn) busy() bool {
	if c.state == http.StateActive || c.received && !c.owner.tls || c.hasUnread() {
		return true
	}
	return c.state == http.StateNew && time.Since(c.accepted) < firstRequestTimeout
}

// unread reports whether the kernel has bytes that the server hasn't taken.
func (c *conn) hasUnread() bool {
	var one [1]byte
	n := 0
	err := c.raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// endIfIdle closes the sending side unless a request is in progress, and reports whether the
// connection has ended.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true
	}
	if c.busy() {
		return false
	}
	c.beginClose()
	return true
}

// end closes the sending side and bounds the wait for the caller to close. c.mu is held.
func (c *conn) beginClose() {
	c.closing = true
	// Errors say that the connection has failed already, which the next read tells too.
	_ = c.TCPConn.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// Close closes the sending side, and the connection once the caller has closed too or
// lingerTimeout is over. It doesn't wait.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.disconnected {
		return c.release()
	}
	if !c.closing {
		c.beginClose()
	}
	go c.linger()
	return nil
}

// linger drops what the caller still sends, until it closes.
func (c *conn) linger() {
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.TCPConn}) // ends with the caller's close, a failure or the deadline
	_ = c.release()
}

func (c *conn) release() error {
	c.owner.remove(c)
	return c.TCPConn.Close()
}
