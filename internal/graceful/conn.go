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
	raw syscall.RawConn
	of  *Connections

	accepted time.Time

	// mu is held while bytes are taken from the kernel, so that none are on their way
	// to the server unnoticed.
	mu    sync.Mutex
	state http.ConnState
	// arrived says that bytes have been read since the last answer.
	arrived bool
	// ending says that the sending side is closed: what still arrives is dropped.
	ending bool
	// over says that the caller has closed, or that the connection has failed.
	over   bool
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
		n, err = c.take(int(fd), p)
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
func (c *conn) take(fd int, p []byte) (int, error) {
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
		c.over = true
		return 0, err
	case c.ending:
		return 0, nil
	}
	c.arrived = true
	return n, nil
}

// SetReadDeadline implements net.Conn. The bound on a connection that is ending stays.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// note takes over the server's word on the connection.
func (c *conn) note(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	if s == http.StateIdle {
		c.arrived = false
	}
}

// active reports whether a request is in progress or has arrived in part.
func (c *conn) active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ending && c.busy()
}

// busy is active of a connection that isn't ending. c.mu is held.
func (c *conn) busy() bool {
	if c.state == http.StateActive || c.arrived && !c.of.opaque || c.unread() {
		return true
	}
	return c.state == http.StateNew && time.Since(c.accepted) < firstRequestTimeout
}

// unread reports whether the kernel has bytes that the server hasn't taken.
func (c *conn) unread() bool {
	var one [1]byte
	n := 0
	err := c.raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// endIfIdle closes the sending side unless a request is in progress, and reports whether the
// connection has ended.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return true
	}
	if c.busy() {
		return false
	}
	c.end()
	return true
}

// end closes the sending side and bounds the wait for the caller to close. c.mu is held.
func (c *conn) end() {
	c.ending = true
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
	if c.over {
		return c.release()
	}
	if !c.ending {
		c.end()
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
	c.of.forget(c)
	return c.TCPConn.Close()
}
