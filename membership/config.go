package membership

import "time"

// Peer is an instance that may exist, by the settings.
type Peer struct {
	Name       string
	DataCentre string
}

// Config is what a Machine needs to know. Zero durations stand for defaults.
type Config struct {
	Self Peer
	// Peers holds every instance of the settings, Self too.
	Peers []Peer
	// Incarnation tells this start of the instance from earlier ones and should
	// grow, such as the wall clock in milliseconds. One that didn't grow, since
	// the clock was set back, costs some seconds: see Machine.ReceiveHeartbeat.
	Incarnation uint64
	// Nearest orders all data centres by their distance from one, that one
	// first.
	Nearest func(dataCentre string) []string

	// Beat is the time between heartbeats, SuspectAfter the silence after which
	// an instance is suspected, GoneAfter the silence after which it counts as
	// gone unless another instance vouches for it.
	HeartbeatInterval, SuspectAfter, GoneAfter time.Duration
	// SummaryEvery is the time between summaries, SummaryFresh how long one
	// counts.
	SummaryInterval, SummaryTTL time.Duration
}

// The default times.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultSuspectAfter      = 1500 * time.Millisecond
	DefaultGoneAfter         = 5 * time.Second
	DefaultSummaryInterval   = time.Second
	DefaultSummaryTTL        = 4 * time.Second
)

// Bounds on what one message or one data centre may take.
const (
	// maxUnheard bounds Heartbeat.Unheard.
	maxUnheard = 32
	// maxSenders bounds the senders of one data centre whose summaries are kept.
	maxSenders = 4
)

func (c Config) withDefaults() Config {
	orElse(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	orElse(&c.SuspectAfter, DefaultSuspectAfter)
	orElse(&c.GoneAfter, DefaultGoneAfter)
	orElse(&c.SummaryInterval, DefaultSummaryInterval)
	orElse(&c.SummaryTTL, DefaultSummaryTTL)
	return c
}

func orElse(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}
