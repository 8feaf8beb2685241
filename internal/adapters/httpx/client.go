package httpx

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/patience"
	"tamarackchute/upstream"
)

// Sizes of a connection's buffers, in bytes. They are allocated only while a request
// is in progress. A response header must fit into the read buffer.
const (
	readBuffer  = 4096
	writeBuffer = 4096
)

// Client sends requests to one address. It sends each request at most once.
type Client struct {
	addr string
	opts Options
	host *fasthttp.HostClient
	ids  *exchangeIDs
	// foreign records the dropped responses.
	foreign *foreignLog
}

// New returns a client for an address.
func New(addr string, o Options) *Client {
	o = o.withDefaults()
	c := &Client{addr: addr, opts: o, ids: newExchangeIDs(), foreign: newForeignLog(addr, o.Logger)}
	c.host = &fasthttp.HostClient{
		Addr:                addr,
		MaxConns:            o.MaxConns,
		MaxIdleConnDuration: DefaultIdleTimeout,
		ConnPoolStrategy:    fasthttp.LIFO,
		ReadBufferSize:      readBuffer,
		WriteBufferSize:     writeBuffer,
		DialTimeout:         c.dial,
		// HostClient.Do isn't used, as it would retry. These settings prevent that if
		// it ever is.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
	return c
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Addr returns the address that the client sends to.
func (c *Client) Addr() string { return c.addr }

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.host.CloseIdleConnections() }

// dial opens a connection and completes its TLS handshake, so that a failed
// handshake counts as not sent.
func (c *Client) dial(addr string, timeout time.Duration) (net.Conn, error) {
	ctx := context.Background()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	conn, err := c.dialTransport(ctx, addr)
	if err != nil || c.opts.TLS == nil {
		return conn, err
	}
	ctx, cancel := patience.WithTimeout(ctx, c.opts.HandshakeTimeout)
	defer cancel()
	secured := tls.Client(conn, c.tlsConfig())
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

func (c *Client) dialTransport(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := patience.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	return c.opts.Dial(ctx, addr)
}

// tlsConfig returns the TLS options, with the client's address as the server name unless
// another one is set.
func (c *Client) tlsConfig() *tls.Config {
	if c.opts.TLS.ServerName != "" || c.opts.TLS.InsecureSkipVerify {
		return c.opts.TLS
	}
	cfg := c.opts.TLS.Clone()
	host, _, err := net.SplitHostPort(c.addr)
	if err == nil {
		cfg.ServerName = host
	}
	return cfg
}

// Do sends a request and reads the whole response. Errors are of type *CallError;
// a response with an error status isn't an error.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	x, err := c.start(ctx, req)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, x.abort)
	defer stop()
	share := bodylimit.ShareOf(ctx)
	if share == nil {
		share = c.opts.Bodies.Share()
		defer share.Release()
	}
	x.metered = &meteredConn{Conn: x.conn, share: share, read: notCounted}
	resp.SkipBody = req.Header.IsHead()
	if err := x.send(req); err != nil {
		c.failed(ctx)
		x.end(false)
		return Broken(contextCause(ctx, err))
	}
	if err := x.receive(resp, c.opts.MaxBody); err != nil {
		if !errors.Is(err, bodylimit.ErrExceeded) { // others hold the memory
			c.failed(ctx)
		}
		x.end(false)
		return Broken(contextCause(ctx, err))
	}
	x.end(!resp.ConnectionClose())
	return nil
}

// start acquires a connection for a request.
func (c *Client) start(ctx context.Context, req *fasthttp.Request) (*exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	x, err := c.connect(ctx)
	if err != nil {
		c.failed(ctx)
		return nil, notSent(contextCause(ctx, err))
	}
	if err := c.checkBeforeSending(ctx); err != nil {
		x.release(true)
		return nil, notSent(err)
	}
	x.sentAt = time.Now()
	x.id = c.ids.next(req.Header.IsHead())
	c.prepare(req, x.id)
	return x, nil
}

// checkBeforeSending is the last check before the first byte. The gate comes last, as it counts what
// it admits.
func (c *Client) checkBeforeSending(ctx context.Context) error {
	if err := upstream.CheckAdmission(ctx); err != nil {
		return err
	}
	if c.opts.Gate == nil {
		return nil
	}
	return c.opts.Gate.Admit()
}

// failed reports a request without a response.
func (c *Client) failed(ctx context.Context) {
	if c.opts.OnFailure != nil && !errors.Is(context.Cause(ctx), context.Canceled) {
		c.opts.OnFailure()
	}
}

// Connect reports whether a connection can be made, and keeps it for later requests.
func (c *Client) Connect(ctx context.Context) error {
	x, err := c.connect(ctx)
	if err != nil {
		return notSent(contextCause(ctx, err))
	}
	x.release(true)
	return nil
}

func (c *Client) prepare(req *fasthttp.Request, id []byte) {
	req.Header.SetHost(c.addr)
	req.Header.SetBytesV(HeaderExchange, id)
	if c.opts.Sender != "" {
		req.Header.Set(HeaderSender, c.opts.Sender)
	}
}

// connect returns an idle or a new connection. An idle connection that the peer has
// closed, or on which unsolicited bytes have arrived, is discarded before a request is
// sent: on the former a request would fail as "may have run" though it never ran, on
// the latter it may wait behind another request's response.
func (c *Client) connect(ctx context.Context) (*exchange, error) {
	for {
		cc, err := c.host.AcquireConn(timeRemaining(ctx), false)
		if err != nil {
			return nil, err
		}
		reused := !cc.LastUseTime().IsZero()
		if reused && !isIdle(cc.Conn()) {
			c.host.CloseConn(cc)
			continue
		}
		release := func(reuse bool) {
			if reuse {
				c.host.ReleaseConn(cc)
				return
			}
			c.host.CloseConn(cc)
		}
		return &exchange{client: c, conn: cc.Conn(), reused: reused, release: release}, nil
	}
}

// timeRemaining returns the time until the context's deadline, or 0 if there is none. A
// deadline that has passed gives a short time, since 0 would mean no limit.
func timeRemaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}
