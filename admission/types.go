package admission

import "time"

// Class distinguishes short, interactive requests from long ones.
type Class uint8

// The classes of request.
const (
	// ClassAuto classifies a request by its prompt's length.
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

// Estimate is the expected time of a request once it is sent. It has the fields of
// router.Estimate and is convertible from it.
type Estimate struct {
	// Queue is the wait at the upstream, FirstToken the time until the first
	// token, Complete the time until the complete response; all from sending.
	Queue      time.Duration
	FirstToken time.Duration
	Complete   time.Duration
	// Unloaded is what Complete would be with no other work at the upstream.
	Unloaded time.Duration
}

// prefillTime is the time to first token without the wait at the upstream.
func (e Estimate) prefillTime() time.Duration { return max(0, e.FirstToken-e.Queue) }

// Limit is a rule's limit on the requests that it matches.
type Limit struct {
	// Rule names the rule; requests that match one rule share its limits.
	Rule string
	// RequestsPerSecond bounds the rate, Concurrent the requests that run or wait
	// at a time; 0 means no bound. Each entry instance applies these by itself: the
	// caller divides a bound for the whole deployment by the number of instances.
	RequestsPerSecond float64
	Concurrent        int
	// PerOrganisation applies the limit to each organisation separately.
	PerOrganisation bool
}

// Request holds the properties of a request that admission needs.
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
	// Deadline is when the complete response is due; zero means none.
	Deadline time.Time
	// Estimate is the router's estimate for the upstream that it would pick now.
	Estimate Estimate
	Limits   []Limit
}

// Capacity is the capacity of the upstreams of one pool and model.
type Capacity struct {
	// Engines counts the engines that may get work.
	Engines int
	// Entries counts the entry instances, the processes that take callers' requests,
	// that share the engines, this one included.
	Entries int
	// PrefillPerSecond and DecodePerSecond are the engines' total rates in tokens.
	PrefillPerSecond float64
	DecodePerSecond  float64
}

// Result says how a granted request ended.
type Result uint8

// The results of a granted request.
const (
	// ResultCompleted is a complete response.
	ResultCompleted Result = iota
	// ResultCancelled is a request that its caller abandoned.
	ResultCancelled
	// ResultFailed is a request without a complete response.
	ResultFailed
)

// Config configures a Controller.
type Config struct {
	// MaxQueued bounds the waiting requests over all pools.
	MaxQueued int
	// ShortReserve is the fraction of the engines that an entry instance keeps free
	// of long requests that have not started.
	ShortReserve float64
	// LongThrottlePressure and ShortThrottlePressure are the fractions of their
	// slack that short requests may lose to waiting at the engines before fewer
	// long requests, or fewer short ones, are sent. Long requests are throttled by
	// their own lost slack above ShortThrottlePressure, too.
	LongThrottlePressure, ShortThrottlePressure float64
	// LongPromptTokens is the prompt length from which ClassAuto means long.
	LongPromptTokens int
	// RetryBudgetRatio is the fraction of requests that may be retried.
	RetryBudgetRatio float64
	// MaxOrganisations bounds the idle organisations whose recent usage is
	// remembered, for each queue and priority, and the number of rate limiters.
	MaxOrganisations int
	// MaxRetryAfter bounds the retry delay for full queues and missed deadlines.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the default configuration.
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
