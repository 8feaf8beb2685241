package wire

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// Link keeps one connection to a peer's address, and makes it anew whenever it
// breaks.
type Link struct {
	cfg     Config
	address string
	handle  func(Message)
	out     *outbox
	log     *slog.Logger
}

// NewLink returns a link; Serve runs it. handle takes what the peer sends and
// must not block; nil drops it.
func NewLink(cfg Config, address string, handle func(Message), log *slog.Logger) *Link {
	cfg.Limits = cfg.Limits.withDefaults()
	if handle == nil {
		handle = func(Message) {}
	}
	return &Link{cfg: cfg, address: address, handle: handle, out: newOutbox(), log: log}
}

// String names the service for the supervisor.
func (l *Link) String() string { return "wire link " + l.address }

// Send queues a message and never blocks. It may be lost: if the connection is
// down or slow, newer messages push it out.
func (l *Link) Send(m Message) { l.out.put(m) }

// Serve keeps the connection until the context ends.
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

// jittered spreads a wait over 0.5 to 1.5 of it: after a peer's restart, all
// its links would otherwise come back in step.
func jittered(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait)
}

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
		return nil, eris.Wrap(err, "peer can't be reached")
	}
	c, err := authenticate(ctx, cfg, raw)
	if err != nil {
		_ = raw.Close()
		return nil, eris.Wrapf(err, "handshake with %s", address)
	}
	return c, nil
}

func authenticate(ctx context.Context, cfg Config, raw net.Conn) (*conn, error) {
	if cfg.ClientTLS != nil {
		raw = tls.Client(raw, withServerName(cfg.ClientTLS, raw))
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	if err := raw.SetDeadline(time.Now().Add(cfg.Limits.Handshake)); err != nil {
		return nil, err
	}
	sec, err := handshakeClient(raw, cfg.Name, cfg.Secret)
	if err != nil {
		return nil, err
	}
	return newConn(raw, sec, cfg.Limits), raw.SetDeadline(time.Time{})
}

// withServerName checks the certificate against the IP number that was dialled,
// unless the settings name another.
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

// Ask makes a connection, sends one message and returns the first message that
// comes back and isn't a ping.
func Request(ctx context.Context, cfg Config, address string, m Message) (Message, error) {
	cfg.Limits = cfg.Limits.withDefaults()
	c, err := dial(ctx, cfg, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer stop()
	if err := c.send(m); err != nil {
		return nil, eris.Wrapf(err, "request to %s", address)
	}
	for {
		answer, err := c.receive()
		if err != nil {
			return nil, eris.Wrapf(err, "answer of %s", address)
		}
		if answer.Kind() != KindPing {
			return answer, nil
		}
	}
}
