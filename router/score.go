package router

import (
	"math"
	"time"

	"tamarackchute/platform"
)

// Scorer says what an upstream would cost a request, in time. Costs add up.
type Scorer interface {
	Cost(c *Candidate, r *Request) time.Duration
}

// timeScorer costs the expected time until the answer is whole.
type timeScorer struct{ cfg *Config }

func (s timeScorer) Cost(c *Candidate, r *Request) time.Duration {
	if c.Up.Kind == platform.KindService {
		c.Estimate = estimateService(c)
	} else {
		c.Estimate = estimateWhole(s.cfg, c, r)
	}
	return c.Estimate.Complete
}

// crossScorer costs leaving the data centre beyond the latency, which
// timeScorer counts: links between data centres are shared and may part.
type crossScorer struct{ cost time.Duration }

func (s crossScorer) Cost(c *Candidate, _ *Request) time.Duration {
	if c.Local {
		return 0
	}
	return s.cost
}

// failureScorer costs the attempt that an upstream's failures would waste: at
// failure rate f the request is expected to be run f/(1-f) times in vain.
type failureScorer struct{}

func (failureScorer) Cost(c *Candidate, _ *Request) time.Duration {
	f := min(c.node.live.failureRate.load(), 0.9)
	if f <= 0.01 {
		return 0
	}
	return time.Duration(float64(c.Estimate.Complete) * f / (1 - f))
}

// Times beyond this are cut, so that sums of costs can't overflow.
const longestEstimate = time.Hour

// Expected output of streams that others started, whose lengths aren't known.
const unknownOutputTokens = 200

// defaultServiceTime stands in until a plain service has been called.
const defaultServiceTime = 20 * time.Millisecond

// estimateWhole says how long a request takes that one engine runs whole.
func estimateWhole(cfg *Config, c *Candidate, r *Request) Estimate {
	queue := queueSeconds(c)
	prompt := max(0, r.PromptTokens-c.CachedTokens)
	first := queue + float64(prompt)/c.rate.prefill + 2*c.Link.Seconds()
	complete := first + float64(r.OutputTokens)*gapSeconds(c)
	return Estimate{seconds(queue), seconds(first), seconds(complete)}
}

// queueSeconds is the wait for the prompts ahead and for a place in the batch.
func queueSeconds(c *Candidate) float64 {
	wait := float64(c.Work.PromptTokens) / c.rate.prefill
	over := c.Work.Requests + 1 - c.rate.batch
	if over <= 0 {
		return wait
	}
	perPlace := unknownOutputTokens / c.rate.decode
	return wait + float64(over)*perPlace
}

// gapSeconds is the time between two tokens of a stream that joins now.
func gapSeconds(c *Candidate) float64 {
	streams := min(c.Work.Requests+1, c.rate.batch)
	return float64(streams) / c.rate.decode
}

// estimateService says how long a plain service's call takes: its usual time,
// longer by the calls of ours that it has in hand.
func estimateService(c *Candidate) Estimate {
	usual := time.Duration(c.node.live.serviceTime.Load())
	if usual <= 0 {
		usual = defaultServiceTime
	}
	queue := usual * time.Duration(c.InFlight) / 4
	complete := queue + usual + 2*c.Link
	return Estimate{queue, complete, complete}
}

// seconds converts, with a bound.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= longestEstimate.Seconds() {
		return longestEstimate
	}
	return time.Duration(s * float64(time.Second))
}
