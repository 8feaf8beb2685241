package exchange

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"tamarackchute/internal/unsent"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 16 << 10
	// maxCarriedIDs is the number of ids after which a connection is replaced, so that it
	// needs to forget none.
	maxCarriedIDs = 1024
)

// conn is one connection to an upstream. It carries one exchange at a time.
type conn struct {
	raw    net.Conn
	input  *limitedInput
	reader *bufio.Reader
	writer *bufio.Writer
	// used is set once the connection has carried a request.
	used      bool
	idleSince time.Time
	// maxIdle is the idle time from which it isn't reused: the pool's, or the upstream's by
	// its last Keep-Alive header.
	maxIdle time.Duration
	// carried holds the hashes of the ids of all its requests. A late response to one of
	// them couldn't be told from that to another request with the same id.
	carried []uint64
	closing sync.Once
}

func newConn(raw net.Conn, maxIdle time.Duration) *conn {
	input := &limitedInput{raw: raw}
	return &conn{
		raw:     raw,
		input:   input,
		reader:  bufio.NewReaderSize(input, readBuffer),
		writer:  bufio.NewWriterSize(raw, writeBuffer),
		maxIdle: maxIdle,

		idleSince: time.Now(),
	}
}

func (c *conn) close() { c.closing.Do(func() { _ = unsent.Close(c.raw) }) }

// remember adds the id of a request that the connection is about to carry.
func (c *conn) remember(m Match) {
	if m.identifies() {
		c.carried = append(c.carried, m.hash())
	}
}

// mayCarry reports whether the response to a request can be told from late ones to the
// connection's earlier requests. Ids with equal hashes count as equal.
func (c *conn) mayCarry(m Match) bool {
	return !m.identifies() || !slices.Contains(c.carried, m.hash())
}

// worn reports whether the connection must not carry further ids.
func (c *conn) worn() bool { return len(c.carried) >= maxCarriedIDs }

// healthy reports whether an idle connection is open and has nothing to read. Pending
// bytes belong to no request, and after an end of file the next request would be lost.
func (c *conn) healthy() bool {
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
	healthy := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		healthy = err == unix.EAGAIN
		return true
	})
	return healthy && err == nil
}
