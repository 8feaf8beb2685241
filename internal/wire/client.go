package wire

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/transfer"
)

// Link maintains one connection to a peer's address and reconnects whenever it
// breaks.
type Link struct {
	cfg     Config
	address string
	handle  func(Message)
	out     *outbox
	log     *slog.Logger
}

// NewLink returns a link; Serve runs it. handle receives the peer's messages and
// must not block; with nil they are dropped.
func NewLink(cfg Config, address string, handle func(Message), log *slog.Logger) *Link {
	cfg.Limits = cfg.Limits.withDefaults()
	if handle == nil {
		handle = func(Message) {}
	}
	return &Link{cfg: cfg, address: address, handle: handle, out: newOutbox(), log: log}
}

// String names the service for the supervisor.
func (l *Link) String() string { return "wire link " + l.address }

// Send queues a message and never blocks. The message may be lost: if the
// connection is down or slow, newer messages replace older ones.
func (l *Link) Send(m Message) { l.out.put(m) }

// Serve maintains the connection until the context ends.
func (l *Link) Serve(ctx context.Context) error {
	wait := l.cfg.Limits.RetryMin
	for {
		c, err := dial(ctx, l.cfg, l.address)
		if err == nil {
			wait = l.cfg.Limits.RetryMin
			l.out.keepNewest()
			err = c.run(ctx, l.out, l.handle)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		l.log.Debug("link is down", "address", l.address, "err", err)
		if !sleep(ctx, jittered(wait)) {
			return ctx.Err()
		}
		wait = min(2*wait, l.cfg.Limits.RetryMax)
	}
}

// jittered returns a random duration of 0.5 to 1.5 times wait, so that the links
// to a restarted peer don't all reconnect at the same moment.
func jittered(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait)
}

// sleep reports whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func dial(ctx context.Context, cfg Config, address string) (*conn, error) {
	d := net.Dialer{Timeout: cfg.Limits.Dial}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "connect to peer")
	}
	c, err := authenticate(ctx, cfg, raw)
	if err != nil {
		_ = raw.Close()
		return nil, eris.Wrapf(err, "handshake with %s", address)
	}
	return c, nil
}

// authenticate adds TLS, if it is configured, and carries out the handshake.
func authenticate(ctx context.Context, cfg Config, raw net.Conn) (*conn, error) {
	if cfg.ClientTLS != nil {
		raw = tls.Client(raw, withServerName(cfg.ClientTLS, raw))
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	if err := raw.SetDeadline(time.Now().Add(cfg.Limits.Handshake)); err != nil {
		return nil, err
	}
	sess, err := handshakeClient(raw, cfg.Name, cfg.Secret)
	if err != nil {
		return nil, err
	}
	return newConn(raw, sess, cfg.Limits), raw.SetDeadline(time.Time{})
}

// withServerName returns a configuration that checks the certificate against the
// dialled IP address, unless a server name is configured.
func withServerName(cfg *tls.Config, raw net.Conn) *tls.Config {
	if cfg.ServerName != "" || cfg.InsecureSkipVerify {
		return cfg
	}
	host, _, err := net.SplitHostPort(raw.RemoteAddr().String())
	if err != nil {
		return cfg
	}
	named := cfg.Clone()
	named.ServerName = host
	return named
}

// Request opens a connection, sends one message and returns the first message
// received that isn't a ping.
func Request(ctx context.Context, cfg Config, address string, m Message) (Message, error) {
	cfg.Limits = cfg.Limits.withDefaults()
	c, err := dial(ctx, cfg, address)
	if err != nil {
		return nil, err
	}
	c.input.received = transfer.Of(ctx).Received
	defer func() { _ = c.raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer stop()
	if err := c.send(m); err != nil {
		return nil, eris.Wrapf(err, "request to %s", address)
	}
	for {
		reply, err := c.receive()
		if err != nil {
			return nil, eris.Wrapf(err, "response from %s", address)
		}
		if reply.Kind() != KindPing {
			return reply, nil
		}
	}
}
