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

// minTTLFactor is the smallest ratio of KeyTTL to the longest time of a call, and
// to KeySkew. A claim's holder that was paused for longer than a call may take
// gives up long before others could forget the claim.
const minTTLFactor = 4

// Config configures a Guard. Every process of a deployment needs the same KeyTTL,
// KeySkew and Retention, as their folds must agree. Zero values select the
// defaults.
type Config struct {
	// Writer is the name under which this process writes to the journal.
	Writer string
	// ClaimTimeout bounds a claim's append; after it the call is refused as not
	// run. Two seconds by default.
	ClaimTimeout time.Duration
	// MaxClaimAge is the longest time between sending a claim and dispatching;
	// a call that was paused for longer is not dispatched. ClaimTimeout plus
	// five seconds by default.
	MaxClaimAge time.Duration
	// MaxDispatch bounds a dispatch. If a claim has no outcome after this time plus
	// MaxClaimAge, none is expected any more and retries get MayHaveRun. 30 s by
	// default.
	MaxDispatch time.Duration
	// KeyTTL is how long a key is known after its claim. 24 h by default.
	KeyTTL time.Duration
	// Retention is how long the log keeps a record. One hour by default.
	Retention time.Duration
	// KeySkew is the largest difference between the log's clock and that of a
	// timed key's creator. Five minutes or an eighth of KeyTTL by default,
	// whichever is less.
	KeySkew time.Duration
	// MaxRecordedBytes is the largest response, headers included, that is
	// recorded completely for retries. 16 KiB by default; negative for none.
	MaxRecordedBytes int
	// MaxKeys bounds the keys known at once; beyond it new keys are refused as
	// not run. 500,000 by default.
	MaxKeys int
	// ResponseCacheBytes bounds the recorded responses in memory. 16 MiB by
	// default.
	ResponseCacheBytes int
	// MaxOutbox bounds the outcomes and withdrawals that wait for the log.
	// 4096 by default.
	MaxOutbox int
	// RecordTimeout is how long the append of an outcome or a withdrawal is
	// retried. Two minutes by default.
	RecordTimeout time.Duration
	// RetryAfter is the wait before a retry that a refused caller is given. One
	// second by default.
	RetryAfter time.Duration
	// DrainTimeout is how long a Guard that shuts down waits for active calls
	// and appends. Five seconds by default.
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

// Validate returns an error if the durations are inconsistent.
func (c Config) Validate() error {
	c = c.withDefaults()
	if c.KeyTTL < minTTLFactor*c.staleAfter() {
		return eris.Errorf("claim: the key TTL is %v, which is less than %d times the %v that a call may take",
			c.KeyTTL, minTTLFactor, c.staleAfter())
	}
	if c.KeySkew > c.KeyTTL/minTTLFactor {
		return eris.Errorf("claim: the key clock skew is %v, which is more than a quarter of the key TTL of %v",
			c.KeySkew, c.KeyTTL)
	}
	return nil
}

// staleAfter is the age after which no outcome of a claim is expected any more.
func (c Config) staleAfter() time.Duration { return c.MaxClaimAge + c.MaxDispatch }

// checkpointsPerRetention allows for two failed checkpoints in a row.
const checkpointsPerRetention = 3

// checkpointEvery is the time between checkpoints. It differs by up to a quarter
// between processes, so that they don't all write one.
func (c Config) checkpointEvery() time.Duration {
	every := c.Retention / checkpointsPerRetention
	share := xxhash.Sum64String(c.Writer) % 1000
	return every + every/4*time.Duration(share)/1000
}
