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
	StaleFraction float64
	// Spread widens the band of nearly equal upstreams, as a share of the least
	// cost and of the reports' age.
	SpreadByCost, SpreadByAge float64
	// CrossCost is what leaving the own data centre costs beside the latency:
	// an upstream elsewhere must be better by at least this much.
	CrossDCPenalty time.Duration
	// CrossShare is added to it, as a share of the request's expected time.
	CrossDCPenaltyFraction float64
	// HandoffBytesPerSecond is the rate of KV handoff within a data centre,
	// CrossHandoffBytesPerSecond the rate between two.
	KVTransferBytesPerSecond        float64
	CrossDCKVTransferBytesPerSecond float64
	// KVBytesPerToken is used until handoffs have been observed.
	KVBytesPerToken float64
	// SplitMinTokens is the shortest prompt whose prefill and decode may be
	// split, SplitGain the share of the expected time that it must save.
	MinSplitTokens int
	MinSplitGain   float64
	// OccupancyWeight is what a second of engine time taken from others costs
	// beside a second of the request's own time.
	OccupancyWeight float64
	// ChunkTokens is how many prompt tokens an engine works through between
	// two tokens of its streams, FirstStepShare the time of a step with one
	// stream as a share of one with a full batch.
	ChunkTokens              float64
	SingleStreamStepFraction float64
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
	ConsecutiveFailures int
	MaxFailureRate      float64
	MinAttempts         int
	// SlowFactor ejects an upstream whose times exceed the prediction by this
	// factor more than its pool's do.
	SlowFactor float64
	// Hold is the first ejection's length; it doubles up to MaxHold, or up to
	// MaxHoldDead for an upstream out of reach, which a trial costs little.
	BaseEjectionTime, MaxEjectionTime, MaxEjectionTimeUnreachable time.Duration
	// Trials is how many requests in a row must succeed on return.
	SuccessfulTrials int
	// MaxFraction is the greatest share of a pool that may be ejected at once;
	// upstreams that can't be connected to don't count.
	MaxEjectedFraction float64
}

// DefaultConfig returns the settings used where nothing else is said.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre:                      dataCentre,
		StaleAfter:                      time.Second,
		StaleFraction:                   0.25,
		SpreadByCost:                    0.05,
		SpreadByAge:                     0.02,
		CrossDCPenalty:                  2 * time.Millisecond,
		CrossDCPenaltyFraction:          0.2,
		KVTransferBytesPerSecond:        20e9,
		CrossDCKVTransferBytesPerSecond: 5e9,
		KVBytesPerToken:                 50_000,
		MinSplitTokens:                  128,
		MinSplitGain:                    0.02,
		OccupancyWeight:                 1.5,
		ChunkTokens:                     256,
		SingleStreamStepFraction:        0.5,
		PrefillPerSecond:                5000,
		DecodePerSecond:                 640,
		MaxBatch:                        32,
		CacheBlocks:                     1 << 17,
		CacheHalfLife:                   5 * time.Minute,
		Outlier: OutlierConfig{
			ConsecutiveFailures:        3,
			MaxFailureRate:             0.5,
			MinAttempts:                10,
			SlowFactor:                 4,
			BaseEjectionTime:           2 * time.Second,
			MaxEjectionTime:            8 * time.Second,
			MaxEjectionTimeUnreachable: 4 * time.Second,
			SuccessfulTrials:           2,
			MaxEjectedFraction:         0.34,
		},
	}
}
