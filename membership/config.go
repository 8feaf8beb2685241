package membership

import "time"

// Peer is an instance named in the settings, which may or may not be running.
type Peer struct {
	Name       string
	DataCentre string
}

// Config configures a Machine. Zero durations select the defaults.
type Config struct {
	Self Peer
	// Peers holds every instance of the settings, including Self.
	Peers []Peer
	// Incarnation distinguishes this start of the instance from earlier ones. It
	// should grow with each start, as the wall clock in milliseconds does. If it
	// doesn't, because the clock was set back, the others ignore the instance for
	// some seconds: see Machine.ReceiveHeartbeat.
	Incarnation uint64
	// Nearest returns all data centres by their distance from the given one, which
	// comes first.
	Nearest func(dataCentre string) []string

	// HeartbeatInterval is the time between heartbeats. An instance without
	// heartbeats is suspected after SuspectAfter, and after GoneAfter it is gone
	// unless another instance vouches for it.
	HeartbeatInterval, SuspectAfter, GoneAfter time.Duration
	// SummaryInterval is the time between summaries, SummaryTTL how long a summary
	// is used.
	SummaryInterval, SummaryTTL time.Duration
}

// The defaults of Config.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultSuspectAfter      = 1500 * time.Millisecond
	DefaultGoneAfter         = 5 * time.Second
	DefaultSummaryInterval   = time.Second
	DefaultSummaryTTL        = 4 * time.Second
)

// Bounds on the size of a message and on the state kept for a data centre.
const (
	// maxSilentPeers bounds Heartbeat.Silent.
	maxSilentPeers = 32
	// maxSenders bounds the senders per data centre whose summaries are kept.
	maxSenders = 4
)

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.GoneAfter, DefaultGoneAfter)
	setDefault(&c.SummaryInterval, DefaultSummaryInterval)
	setDefault(&c.SummaryTTL, DefaultSummaryTTL)
	return c
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}
