package router

import "time"

// Config sets a Tracker and the decisions made over its snapshots.
type Config struct {
	// DataCentre is the process's own.
	DataCentre string
	// Links gives the one-way latency between data centres, both ways alike.
	Links []Link
	// StaleAfter bounds the age at which a report's word on other processes' work
	// counts for a quarter.
	StaleAfter time.Duration
	// StaleShare sets that age as a share of the time of an answer; 0 leaves
	// the bound alone.
	StaleShare float64
	// Spread widens the band of nearly equal upstreams, as a share of the least
	// cost and of the reports' age.
	Spread, SpreadByAge float64
	// CrossCost is what leaving the own data centre costs beside the latency:
	// an upstream elsewhere must be better by at least this much.
	CrossCost time.Duration
	// CrossShare is added to it, as a share of the request's expected time.
	CrossShare float64
	// HandoffBytesPerSecond is the rate of KV handoff within a data centre,
	// CrossHandoffBytesPerSecond the rate between two.
	HandoffBytesPerSecond      float64
	CrossHandoffBytesPerSecond float64
	// KVBytesPerToken is used until handoffs have been observed.
	KVBytesPerToken float64
	// SplitMinTokens is the shortest prompt whose prefill and decode may be
	// split, SplitGain the share of the expected time that it must save.
	SplitMinTokens int
	SplitGain      float64
	// OccupancyWeight is what a second of engine time taken from others costs
	// beside a second of the request's own time.
	OccupancyWeight float64
	// ChunkTokens is how many prompt tokens an engine works through between
	// two tokens of its streams, FirstStepShare the time of a step with one
	// stream as a share of one with a full batch.
	ChunkTokens    float64
	FirstStepShare float64
	// PrefillPerSecond and DecodePerSecond stand in for an engine's rates until
	// its first report, MaxBatch for its batch.
	PrefillPerSecond float64
	DecodePerSecond  float64
	MaxBatch         int
	// CacheBlocks bounds the prefix index.
	CacheBlocks int
	// CacheHalfLife is the time after which a belief that an engine holds a
	// block counts half.
	CacheHalfLife time.Duration
	// Outlier sets when an upstream is ejected.
	Outlier OutlierConfig
	// Pipeline makes the pipeline; nil means NewScheduler.
	Pipeline func(Config) *Scheduler
}

func (c Config) pipeline() *Scheduler {
	if c.Pipeline != nil {
		return c.Pipeline(c)
	}
	return NewScheduler(c)
}

// Link is the one-way latency between two data centres.
type Link struct {
	From, To string
	OneWay   time.Duration
}

// OutlierConfig sets when an upstream is ejected and how it comes back.
type OutlierConfig struct {
	// Consecutive failures eject, as does a failure rate above MaxFailureRate
	// once MinAttempts have been seen.
	Consecutive    int
	MaxFailureRate float64
	MinAttempts    int
	// SlowFactor ejects an upstream whose times exceed the prediction by this
	// factor more than its pool's do.
	SlowFactor float64
	// Hold is the first ejection's length; it doubles up to MaxHold, or up to
	// MaxHoldDead for an upstream out of reach, which a trial costs little.
	Hold, MaxHold, MaxHoldDead time.Duration
	// Trials is how many requests in a row must succeed on return.
	Trials int
	// MaxFraction is the greatest share of a pool that may be ejected at once;
	// upstreams that can't be connected to don't count.
	MaxFraction float64
}

// DefaultConfig returns the settings used where nothing else is said.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre:                 dataCentre,
		StaleAfter:                 time.Second,
		StaleShare:                 0.25,
		Spread:                     0.05,
		SpreadByAge:                0.02,
		CrossCost:                  2 * time.Millisecond,
		CrossShare:                 0.2,
		HandoffBytesPerSecond:      20e9,
		CrossHandoffBytesPerSecond: 5e9,
		KVBytesPerToken:            50_000,
		SplitMinTokens:             128,
		SplitGain:                  0.02,
		OccupancyWeight:            1.5,
		ChunkTokens:                256,
		FirstStepShare:             0.5,
		PrefillPerSecond:           5000,
		DecodePerSecond:            640,
		MaxBatch:                   32,
		CacheBlocks:                1 << 17,
		CacheHalfLife:              5 * time.Minute,
		Outlier: OutlierConfig{
			Consecutive:    3,
			MaxFailureRate: 0.5,
			MinAttempts:    10,
			SlowFactor:     4,
			Hold:           2 * time.Second,
			MaxHold:        8 * time.Second,
			MaxHoldDead:    4 * time.Second,
			Trials:         2,
			MaxFraction:    0.34,
		},
	}
}
