package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Defaults of Config.
const (
	defaultClaimTimeout       = 2 * time.Second
	defaultMaxDispatch        = 30 * time.Second
	defaultKeyTTL             = 24 * time.Hour
	defaultRetention          = time.Hour
	defaultKeySkew            = 5 * time.Minute
	defaultMaxRecordedBytes   = 16 << 10
	defaultMaxKeys            = 500_000
	defaultResponseCacheBytes = 16 << 20
	defaultMaxOutbox          = 4096
	defaultRecordTimeout      = 2 * time.Minute
	defaultRetryAfter         = time.Second
	defaultDrainTimeout       = 5 * time.Second
)

// rememberFactor is the least ratio of the time that a key is known to the
// time that a call may take. A claim's holder that was paused for longer than
// it may take gives up, long before others could forget the claim.
const minTTLFactor = 4

// Config sets the claims up. Every process of a deployment needs the same
// Remember, KeySkew and Retention, as their folds must agree. Zero values
// stand for the defaults.
type Config struct {
	// Writer names this process as its journal does.
	Writer string
	// ClaimTimeout bounds the wait for a claim; then the call is refused as not
	// run. Two seconds by default.
	ClaimTimeout time.Duration
	// MaxClaimAge is the longest time between sending a claim and dispatching;
	// a call that was paused for longer is not dispatched. ClaimTimeout plus
	// five seconds by default.
	MaxClaimAge time.Duration
	// MaxDispatch bounds a dispatch. A claim without an outcome after this time
	// and MaxClaimAge is taken as broken off. 30 s by default.
	MaxDispatch time.Duration
	// Remember is how long a key is known. 24 h by default.
	KeyTTL time.Duration
	// Retention is how long the log keeps a record. One hour by default.
	Retention time.Duration
	// KeySkew is the most by which the clock that made a timed key may differ
	// from the log's. Five minutes by default.
	KeySkew time.Duration
	// MaxRecordedBytes is the largest answer, headers included, that is
	// recorded whole for resends. 16 KiB by default; negative for none.
	MaxRecordedBytes int
	// MaxKeys bounds the keys known at once; beyond it new keys are refused as
	// not run. 500,000 by default.
	MaxKeys int
	// MaxAnswerBytes bounds the recorded answers in memory. 16 MiB by default.
	ResponseCacheBytes int
	// MaxOutbox bounds the outcomes and withdrawals that wait for the log.
	// 4096 by default.
	MaxOutbox int
	// RecordFor is how long the append of an outcome is tried again. Two
	// minutes by default.
	RecordTimeout time.Duration
	// RetryAfter is what a refused caller is told to wait. One second by
	// default.
	RetryAfter time.Duration
	// DrainTimeout is how long a stopping Guard waits for calls and outcomes
	// under way. Five seconds by default.
	DrainTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.ClaimTimeout, defaultClaimTimeout)
	setDefault(&c.MaxClaimAge, c.ClaimTimeout+5*time.Second)
	setDefault(&c.MaxDispatch, defaultMaxDispatch)
	setDefault(&c.KeyTTL, defaultKeyTTL)
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.KeySkew, min(defaultKeySkew, c.KeyTTL/8))
	setDefault(&c.MaxKeys, defaultMaxKeys)
	setDefault(&c.ResponseCacheBytes, defaultResponseCacheBytes)
	setDefault(&c.MaxOutbox, defaultMaxOutbox)
	setDefault(&c.RecordTimeout, defaultRecordTimeout)
	setDefault(&c.RetryAfter, defaultRetryAfter)
	setDefault(&c.DrainTimeout, defaultDrainTimeout)
	if c.MaxRecordedBytes == 0 {
		c.MaxRecordedBytes = defaultMaxRecordedBytes
	}
	return c
}

func setDefault[T ~int | ~int64](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Validate returns an error if the times don't fit together.
func (c Config) Validate() error {
	c = c.withDefaults()
	if c.KeyTTL < minTTLFactor*c.staleAfter() {
		return eris.Errorf("claim: keys are remembered for %v, which is less than %d times the %v that a call may take",
			c.KeyTTL, minTTLFactor, c.staleAfter())
	}
	if c.KeySkew > c.KeyTTL/minTTLFactor {
		return eris.Errorf("claim: the clocks of keys may differ by %v, more than a quarter of the %v that a key is known",
			c.KeySkew, c.KeyTTL)
	}
	return nil
}

// staleAfter is the age at which a claim without an outcome has none to come.
func (c Config) staleAfter() time.Duration { return c.MaxClaimAge + c.MaxDispatch }

// checkpointsPerRetention leaves room for two checkpoints to fail.
const checkpointsPerRetention = 3

// checkpointEvery is the time between checkpoints. It differs by up to a
// quarter between processes.
func (c Config) checkpointEvery() time.Duration {
	every := c.Retention / checkpointsPerRetention
	share := xxhash.Sum64String(c.Writer) % 1000
	return every + every/4*time.Duration(share)/1000
}
