package capacity

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// relay hands TCP connections on to an address and counts the bytes of both
// directions.
type relay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

// newRelay returns a relay on a free loopback port, which listens already.
func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return &relay{listener: l, target: target}, err
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// Serve relays until the context ends.
func (r *relay) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return ctx.Err()
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		hangUp := context.AfterFunc(ctx, func() { _, _ = near.Close(), far.Close() })
		wg.Go(func() { r.pass(far, near); hangUp() })
		wg.Go(func() { r.pass(near, far) })
	}
}

// pass copies one direction and hangs up on both ends when it is over.
func (r *relay) pass(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	_, _ = io.Copy(to, &countingReader{from, &r.bytes})
}

// countingReader counts what is read through it.
type countingReader struct {
	from  io.Reader
	count *atomic.Int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.from.Read(p)
	c.count.Add(int64(n))
	return n, err
}
