package wire

import (
	"crypto/tls"
	"time"
)

// Config configures both ends of connections.
type Config struct {
	// Name identifies this process to the peer, as instance/program. The name isn't
	// verified: the handshake only proves that a peer belongs to the system.
	Name   string
	Secret []byte
	// ClientTLS and ServerTLS are nil if TLS is disabled.
	ClientTLS *tls.Config
	ServerTLS *tls.Config
	Limits    Limits
}

// Limits holds timeouts and the limit on connections. A zero value selects the default.
type Limits struct {
	// Dial is the timeout for connecting, Handshake for the whole handshake.
	Dial, Handshake time.Duration
	// Write is the timeout for writing a part of a frame.
	Write time.Duration
	// Ping is the interval between pings. A connection on which nothing is received
	// for Idle is closed.
	Ping, Idle time.Duration
	// RetryMin and RetryMax bound the delay before reconnecting.
	RetryMin, RetryMax time.Duration
	// Connections is the maximum number of concurrent connections of a server.
	Connections int
}

// Defaults of Limits.
const (
	defaultDial        = time.Second
	defaultHandshake   = 2 * time.Second
	defaultWrite       = 2 * time.Second
	defaultPing        = 2 * time.Second
	defaultIdle        = 7 * time.Second
	defaultRetryMin    = 50 * time.Millisecond
	defaultRetryMax    = 2 * time.Second
	defaultConnections = 4096
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.Dial, defaultDial)
	setDefault(&l.Handshake, defaultHandshake)
	setDefault(&l.Write, defaultWrite)
	setDefault(&l.Ping, defaultPing)
	setDefault(&l.Idle, defaultIdle)
	setDefault(&l.RetryMin, defaultRetryMin)
	setDefault(&l.RetryMax, defaultRetryMax)
	setDefault(&l.Connections, defaultConnections)
	return l
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
