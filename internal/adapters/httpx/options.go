// Package httpx holds what the HTTP adapters share: options, a client that
// sends each request at most once, and the classification of its errors.
//
// The client keeps fasthttp's connection pool and codec but makes the round
// trip itself. fasthttp's own client resends a request whose connection was
// closed without an answer, has no context to abort a call in progress, and
// doesn't say whether any byte was sent.
package httpx

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// Defaults of Options.
const (
	DefaultTimeout     = 10 * time.Second
	DefaultDialTimeout = time.Second
	DefaultMaxConns    = 16384
	// DefaultIdle is shorter than the idle timeout of usual servers, so that
	// a kept connection is seldom closed by its far end.
	DefaultIdleTimeout = 8 * time.Second
	// DefaultMaxBody bounds a buffered response body, in bytes.
	DefaultMaxBody = 64 << 20
)

// Options configures an adapter. The zero value is usable.
type Options struct {
	// TLS switches TLS on; nil means plain TCP.
	TLS *tls.Config
	// Timeout bounds a call whose context has no earlier deadline. A stream
	// is bounded by it only until its response header has come.
	Timeout time.Duration
	// DialTimeout bounds the making of a connection, TLS handshake included.
	DialTimeout time.Duration
	// MaxConns bounds the connections to the address.
	MaxConns int
	// MaxBody bounds a buffered response body, in bytes.
	MaxBody int
	// Sender names the calling process to the other side, in HeaderSender.
	Sender string
	// Dial replaces the TCP dialler; tests use it to record a session.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return o
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
