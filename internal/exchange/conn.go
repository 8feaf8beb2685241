package exchange

import (
	"bufio"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 16 << 10
)

// conn is one connection to an upstream. It carries one exchange at a time.
type conn struct {
	raw       net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	used      bool
	idleSince time.Time
	idleLimit time.Duration
	closing   sync.Once
}

func newConn(raw net.Conn, idleLimit time.Duration) *conn {
	return &conn{
		raw:       raw,
		reader:    bufio.NewReaderSize(raw, readBuffer),
		writer:    bufio.NewWriterSize(raw, writeBuffer),
		idleLimit: idleLimit,
	}
}

func (c *conn) close() { c.closing.Do(func() { _ = c.raw.Close() }) }

// quiet reports whether an idle connection is as it should be: open, and with
// nothing to read. Bytes there belong to no request, and an end of file means
// that whatever is sent next is lost.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return true
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return quiet && err == nil
}
