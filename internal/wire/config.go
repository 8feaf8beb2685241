package wire

import (
	"crypto/tls"
	"time"
)

// Config is what both ends of connections need.
type Config struct {
	// Name tells the peer who this is, as instance/program. It is told by the
	// peer itself: the handshake proves that it belongs to the system, no more.
	Name   string
	Secret []byte
	// ClientTLS and ServerTLS are nil if TLS is off.
	ClientTLS *tls.Config
	ServerTLS *tls.Config
	Limits    Limits
}

// Limits bound how long a peer may take. Zero values stand for the defaults.
type Limits struct {
	// Dial bounds the making of a connection, Handshake all of the handshake.
	Dial, Handshake time.Duration
	// Write bounds the writing of one frame.
	Write time.Duration
	// Ping is the time between pings, Idle the longest silence.
	Ping, Idle time.Duration
	// RetryMin and RetryMax bound the wait before a connection is tried again.
	RetryMin, RetryMax time.Duration
	// Connections is the most that a server serves at a time.
	Connections int
}

// The default limits.
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
