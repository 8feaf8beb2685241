package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/patience"
)

// Options are the options of a Pool. Zero values stand for the defaults.
type Options struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// MaxIdleNonIdempotent is the longest idle time after which a connection is reused
	// for a non-idempotent request, MaxIdle that for others unless the upstream states
	// its own in a Keep-Alive header.
	MaxIdleNonIdempotent, MaxIdle time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed; a network partition shows no other sign.
	UnackedTimeout time.Duration
	// Dial opens a connection to an address; nil means a TCP connection. It returns once the context
	// ends.
	Dial Dialer
	// OnMismatch is called for each dropped response that belongs to another request; it
	// must not block. Nil does nothing.
	OnMismatch func(Mismatch)
	// OnResponse is called for the headers of each final response read, also of those that
	// are discarded because they belong to no request. Nil does nothing.
	OnResponse func(r ObservedResponse)
	// Bodies limits what bodies hold in memory together, also with those of other pools; nil for no limit.
	Bodies *bodylimit.Limit
}

// Dialer opens a connection to IP:PORT.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// ObservedResponse holds the headers of a response.
type ObservedResponse struct {
	Status int
	Header http.Header
	// SentAt is when its request was begun to be sent; zero if it isn't the response to the request
	// in progress.
	SentAt time.Time
}

// The defaults of Options, and the limit of idle connections.
const (
	// Within a site a connection takes a few milliseconds; a lost SYN is resent after
	// one second, which is too long to wait.
	defaultDialTimeout = 700 * time.Millisecond
	// defaultMaxIdleNonIdempotent is well below the idle timeouts of upstreams.
	defaultMaxIdleNonIdempotent = 400 * time.Millisecond
	defaultMaxIdle              = 2 * time.Second
	defaultUnackedTimeout       = 2500 * time.Millisecond
	// maxIdleConns limits the idle connections of one pool.
	maxIdleConns = 32
)

// Pool holds the idle connections to one upstream. It is safe for concurrent use.
type Pool struct {
	address string
	options Options
	// inOrder says that the upstream guarantees what NewInOrderPool requires.
	inOrder bool

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool of connections to an address, IP:PORT.
func NewPool(address string, o Options) *Pool {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.MaxIdleNonIdempotent, defaultMaxIdleNonIdempotent)
	setDefault(&o.MaxIdle, defaultMaxIdle)
	setDefault(&o.UnackedTimeout, defaultUnackedTimeout)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.OnMismatch == nil {
		o.OnMismatch = func(Mismatch) {}
	}
	return &Pool{address: address, options: o}
}

// NewInOrderPool returns a pool of connections to an upstream which guarantees exactly one
// response to each request of a connection, in the order of the requests. Only there may
// exchanges that nothing identifies use kept connections.
func NewInOrderPool(address string, o Options) *Pool {
	p := NewPool(address, o)
	p.inOrder = true
	return p
}

// mayKeep reports whether an exchange may use a kept connection and leave it to others. One
// of HEAD may not: its responses have no body whatever their headers say, so a late one to
// another method, or its own met by another, would be read to the wrong end.
func (p *Pool) mayKeep(r *Request) bool {
	return p.inOrder || r.Match.identifies() && r.Method != http.MethodHead
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Close closes the idle connections; those in use are closed at the end of their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// take returns an idle connection, or nil if there is none that the request may use. It
// closes those that it finds broken or idle for too long.
func (p *Pool) take(r *Request, now time.Time) *conn {
	if !p.mayKeep(r) {
		return nil
	}
	for {
		c := p.popIdle(r.Match)
		if c == nil {
			return nil
		}
		idle := now.Sub(c.idleSince)
		usable := idle < c.maxIdle && (!r.NonIdempotent || idle < p.options.MaxIdleNonIdempotent)
		if usable && c.healthy() {
			return c
		}
		c.close()
	}
}

// popIdle removes and returns the last used connection that may carry the request.
func (p *Pool) popIdle(m Match) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if c.mayCarry(m) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) put(c *conn, now time.Time) {
	c.idleSince = now
	p.putBack(c)
}

// putBack returns a connection that wasn't used since it became idle.
func (p *Pool) putBack(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		go c.close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := patience.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, p.address)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	setUnackedTimeout(raw, p.options.UnackedTimeout)
	return newConn(raw, p.options.MaxIdle), nil
}

// DialFrom returns a Dialer of TCP connections from a local IP address, nil if it is empty.
func DialFrom(ip string) (Dialer, error) {
	if ip == "" {
		return nil, nil
	}
	source, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, fmt.Errorf("source address: %w", err)
	}
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	return func(ctx context.Context, address string) (net.Conn, error) {
		d := net.Dialer{KeepAlive: -1, LocalAddr: local}
		return d.DialContext(ctx, "tcp", address)
	}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address)
}

// Connect opens a connection for later exchanges. Its error is a *NotSentError.
func (p *Pool) Connect(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c, time.Now())
	return nil
}

// Verify is Connect for a connection that stays open for a while: what stands between this process
// and the upstream may accept connections that it then resets. Its error is a *NotSentError.
func (p *Pool) Verify(ctx context.Context, open time.Duration) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	time.Sleep(open)
	if !c.healthy() {
		c.close()
		return &NotSentError{Cause: ErrClosedAtOnce}
	}
	p.put(c, time.Now())
	return nil
}

// setUnackedTimeout makes the kernel close a connection whose sent bytes stay
// unacknowledged. If it fails, only the request's own deadline applies.
func setUnackedTimeout(raw net.Conn, d time.Duration) {
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
