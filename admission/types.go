package admission

import "time"

// Class tells short requests, which somebody waits for, from long ones.
type Class uint8

// The classes of request.
const (
	// ClassAuto classes a request by its prompt's length.
	ClassAuto Class = iota
	ClassShort
	ClassLong
)

// String returns the class's name for logs.
func (c Class) String() string {
	switch c {
	case ClassShort:
		return "short"
	case ClassLong:
		return "long"
	default:
		return "auto"
	}
}

// Estimate is the time that a request is expected to take once it is sent. It
// has the fields of router.Estimate and converts from it.
type Estimate struct {
	// Queue is the wait at the upstream, FirstToken the time until the first
	// token, Complete the time until the whole answer; each from the sending.
	Queue      time.Duration
	FirstToken time.Duration
	Complete   time.Duration
	// Alone is what Complete would be with no other work at the upstream.
	Unloaded time.Duration
}

// own is the time to the first token without a wait at the upstream.
func (e Estimate) prefillTime() time.Duration { return max(0, e.FirstToken-e.Queue) }

// Limit is a rule's limit on the requests that it matches.
type Limit struct {
	// Rule names the rule; requests of one rule share its limits.
	Rule string
	// RequestsPerSecond bounds the rate, Concurrent the requests that run or
	// wait at a time; 0 means no bound. Each entry instance applies the bound
	// it is given: whoever fills this in divides a bound meant for the whole
	// deployment by the number of instances.
	RequestsPerSecond float64
	Concurrent        int
	// PerOrganisation gives each organisation the limit for itself.
	PerOrganisation bool
}

// Request is what admission needs to know about a request.
type Request struct {
	Pool         string
	Model        string
	Organisation string
	Class        Class
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// Priority orders requests of a class: higher goes first.
	Priority int
	// Deadline is when the whole answer must be there; zero means none.
	Deadline time.Time
	// Estimate is the router's, for the upstream it would pick now.
	Estimate Estimate
	Limits   []Limit
}

// Capacity is what an entry knows of the upstreams of one pool and model.
type Capacity struct {
	// Engines counts those that may get work.
	Engines int
	// Entries counts the entry instances that share them, this one included.
	Entries int
	// PrefillPerSecond and DecodePerSecond sum the engines' rates in tokens.
	PrefillPerSecond float64
	DecodePerSecond  float64
}

// Result says how a granted request ended.
type Result uint8

// The results of a granted request.
const (
	// ResultDone is a whole answer.
	ResultCompleted Result = iota
	// ResultCancelled is a request that its caller gave up.
	ResultCancelled
	// ResultFailed is a request without a whole answer.
	ResultFailed
)

// Config sets a Controller.
type Config struct {
	// MaxQueued is the most requests that wait, over all pools.
	MaxQueued int
	// ShortReserve is the share of the engines that an entry keeps free of long
	// requests that have not started.
	ShortReserve float64
	// LongPressure is the share of their slack that short requests may lose to
	// waiting at the engines before fewer long ones are sent, and ShortPressure
	// the share from which fewer short ones are.
	LongThrottlePressure, ShortThrottlePressure float64
	// LongTokens is the prompt length from which ClassAuto means long.
	LongPromptTokens int
	// RetryBudget is the share of requests that may be retried.
	RetryBudgetRatio float64
	// MaxOrganisations bounds the organisations whose recent use is
	// remembered while they have nothing waiting.
	MaxOrganisations int
	// MaxRetryAfter bounds the advice in a refusal.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the settings used where nothing else is said.
func DefaultConfig() Config {
	return Config{
		MaxQueued:             2000,
		ShortReserve:          0.15,
		LongThrottlePressure:  0.2,
		ShortThrottlePressure: 0.8,
		LongPromptTokens:      1024,
		RetryBudgetRatio:      0.1,
		MaxOrganisations:      4096,
		MaxRetryAfter:         time.Minute,
	}
}
