package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Options set a Pool. Zero values stand for the defaults.
type Options struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// MaxIdleNonIdempotent is the longest idle time after which a kept connection still
	// carries a request that may run once only, MaxIdle that for others
	// where the upstream names no limit of its own.
	MaxIdleNonIdempotent, MaxIdle time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken; a peer behind a partition shows no other sign.
	UnackedTimeout time.Duration
}

// The defaults of Options.
const (
	// defaultDial: a connection within a site takes a few milliseconds; a lost
	// first packet is sent again after one second, which isn't worth a wait.
	defaultDial = 700 * time.Millisecond
	// defaultIdleOnce is well below the shortest timeout seen on upstreams.
	defaultIdleOnce  = 400 * time.Millisecond
	defaultIdleLimit = 2 * time.Second
	defaultSilence   = 2500 * time.Millisecond
	// maxIdle bounds the kept connections of one pool.
	maxIdle = 32
)

// Pool keeps the connections to one upstream. It is safe for use by many
// goroutines.
type Pool struct {
	address string
	options Options

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool for an address, IP:PORT.
func NewPool(address string, o Options) *Pool {
	orElse(&o.DialTimeout, defaultDial)
	orElse(&o.MaxIdleNonIdempotent, defaultIdleOnce)
	orElse(&o.MaxIdle, defaultIdleLimit)
	orElse(&o.UnackedTimeout, defaultSilence)
	return &Pool{address: address, options: o}
}

func orElse(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Close closes the kept connections; those in use close when they are done.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// take returns a kept connection, or nil. Those that have been idle for too
// long are closed on the way.
func (p *Pool) take(once bool, now time.Time) *conn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		idle := now.Sub(c.idleSince)
		usable := idle < c.idleLimit && (!once || idle < p.options.MaxIdleNonIdempotent)
		if usable && c.quiet() {
			return c
		}
		c.close()
	}
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) put(c *conn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		go c.close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: p.options.DialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	setSilenceTimeout(raw, p.options.UnackedTimeout)
	return newConn(raw, p.options.MaxIdle), nil
}

// setSilenceTimeout makes the kernel give a connection up whose sent bytes stay
// unacknowledged. A failure leaves the request's own deadline as the only bound.
func setSilenceTimeout(raw net.Conn, d time.Duration) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
