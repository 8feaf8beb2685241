package router

import "time"

// Config configures a Tracker and the decisions over its snapshots.
type Config struct {
	// DataCentre is this process's data centre.
	DataCentre string
	// Links lists the one-way latencies between data centres, equal in both
	// directions.
	Links []Link
	// StaleAfter bounds the age at which a report's weight in the estimate of
	// other processes' work has fallen to a quarter.
	StaleAfter time.Duration
	// StaleFraction sets that age as a fraction of the mean response time, up to
	// StaleAfter; 0 means StaleAfter.
	StaleFraction float64
	// SpreadByCost and SpreadByAge set the width of the band of nearly equal
	// upstreams, as a fraction of the lowest cost and of the reports' age.
	SpreadByCost, SpreadByAge float64
	// CrossDCPenalty is the cost of leaving the data centre in addition to the
	// latency: an upstream elsewhere must be better by at least this much.
	CrossDCPenalty time.Duration
	// CrossDCPenaltyFraction adds a fraction of the expected time to it.
	CrossDCPenaltyFraction float64
	// KVTransferBytesPerSecond is the rate of KV transfers within a data centre,
	// CrossDCKVTransferBytesPerSecond the rate between two.
	KVTransferBytesPerSecond        float64
	CrossDCKVTransferBytesPerSecond float64
	// KVBytesPerToken is the size of the KV cache of one token. Transfer times
	// computed from it are corrected by learned factors.
	KVBytesPerToken float64
	// MinSplitTokens is the shortest prompt whose prefill and decode may run on
	// two engines, MinSplitGain the fraction of the cost that this must save.
	MinSplitTokens int
	MinSplitGain   float64
	// OccupancyWeight is the cost of a second of engine time taken from other
	// requests, relative to a second of the request's own time.
	OccupancyWeight float64
	// ChunkTokens is the number of prompt tokens that an engine prefills between
	// two decode steps, SingleStreamStepFraction the time of a step with one
	// stream as a fraction of one with a full batch.
	ChunkTokens              float64
	SingleStreamStepFraction float64
	// PrefillPerSecond, DecodePerSecond and MaxBatch are assumed of an engine
	// until its first report.
	PrefillPerSecond float64
	DecodePerSecond  float64
	MaxBatch         int
	// CacheBlocks bounds the number of blocks in the prefix index.
	CacheBlocks int
	// CacheHalfLife is the time in which the confidence that an engine holds a
	// block halves.
	CacheHalfLife time.Duration
	// Outlier configures the ejection of failing upstreams.
	Outlier OutlierConfig
	// Limited reports whether the limit that an upstream has named allows no request now; nil means
	// that there are no limits. It must be safe for concurrent use.
	Limited func(upstream string) bool
	// Pipeline constructs the pipeline; nil means NewScheduler.
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

// OutlierConfig sets when an upstream is ejected and how it recovers.
type OutlierConfig struct {
	// An upstream is ejected after ConsecutiveFailures, or at a failure rate above
	// MaxFailureRate once MinAttempts attempts have ended.
	ConsecutiveFailures int
	MaxFailureRate      float64
	MinAttempts         int
	// SlowFactor ejects an upstream whose ratio of observed to predicted time is
	// at least this factor, and this many times its pool's median.
	SlowFactor float64
	// BaseEjectionTime is the first ejection's length. It doubles up to
	// MaxEjectionTime, or up to MaxEjectionTimeUnreachable for an upstream that
	// can't be reached, because a probe of that one costs little.
	BaseEjectionTime, MaxEjectionTime, MaxEjectionTimeUnreachable time.Duration
	// SuccessfulProbes is the number of probes that must succeed in a row.
	SuccessfulProbes int
	// MaxEjectedFraction is the greatest fraction of a pool that may be ejected at
	// once; unreachable upstreams don't count.
	MaxEjectedFraction float64
}

// DefaultConfig returns the default configuration for a data centre.
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
			SuccessfulProbes:           2,
			MaxEjectedFraction:         0.34,
		},
	}
}
