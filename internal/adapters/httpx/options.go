// Package httpx is the common base of the HTTP adapters: options, a client that
// sends each request at most once, and the classification of its errors.
//
// The client uses fasthttp's connection pool and codec but implements the round
// trip itself, because fasthttp's client resends a request whose connection was
// closed without a response, can't abort a call by a context, and doesn't report
// whether any byte was sent. It also takes the next response on a connection for that to
// the current request; here each response must name its exchange, see HeaderExchange.
package httpx

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"tamarackchute/internal/bodylimit"
)

// Defaults of Options.
const (
	DefaultTimeout     = 10 * time.Second
	DefaultDialTimeout = time.Second
	// DefaultHandshakeTimeout is longer than a peer that will go on is silent.
	DefaultHandshakeTimeout = 2500 * time.Millisecond
	DefaultMaxConns         = 16384
	// DefaultIdleTimeout is shorter than the idle timeout of most servers, so that
	// idle connections are rarely closed by the server.
	DefaultIdleTimeout = 8 * time.Second
	// DefaultMaxBody is the default of Options.MaxBody, in bytes.
	DefaultMaxBody = 64 << 20
)

// Options configures an adapter. The zero value is usable.
type Options struct {
	// TLS enables TLS; nil means plain TCP.
	TLS *tls.Config
	// Timeout applies to a call whose context has no earlier deadline. For a stream
	// it applies only until the response header has been received.
	Timeout time.Duration
	// DialTimeout applies to connecting, HandshakeTimeout to the TLS handshake that follows: a peer that
	// accepts a connection and is silent for a second isn't gone.
	DialTimeout, HandshakeTimeout time.Duration
	// MaxConns is the maximum number of connections to the address.
	MaxConns int
	// MaxBody is the size limit of a buffered response body, in bytes.
	MaxBody int
	// Bodies limits what buffered response bodies hold together, also with those of other clients; nil for
	// no limit. A body counts until Do returns, or as long as the share in its context is held.
	Bodies *bodylimit.Limit
	// Sender is the name of the calling process, sent in HeaderSender.
	Sender string
	// Gate admits requests and observes responses; nil admits all.
	Gate Gate
	// OnFailure is called for each request to which no response came, unless its caller cancelled it;
	// nil does nothing.
	OnFailure func()
	// Dial replaces the default TCP dialer.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Logger replaces the default logger.
	Logger *slog.Logger
}

// Gate decides whether requests may be sent to the address.
type Gate interface {
	// Admit returns an error if no request may be sent now, and counts one otherwise. It is asked
	// right before the first byte.
	Admit() error
	// Observe is called for each response with the limits that it names, and when its request was
	// sent.
	Observe(limits []string, sentAt time.Time)
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.HandshakeTimeout <= 0 {
		o.HandshakeTimeout = DefaultHandshakeTimeout
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
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
