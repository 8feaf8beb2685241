package router

import (
	"time"

	"tamarackchute/infra"
)

// Scorer says what an upstream would cost a request, in time. Costs add up.
type Scorer interface {
	Cost(c *Candidate, r *Request) time.Duration
}

// timeScorer costs the expected time until the answer is whole, weighted by
// how much of the time until the deadline that is: a request with time in hand
// can afford a queue, and leaves the idle engine to one that can't.
type timeScorer struct{}

func (timeScorer) Cost(c *Candidate, r *Request) time.Duration {
	if c.Upstream.Kind == infra.KindService {
		c.Estimate = estimateService(c)
		return c.Estimate.Complete
	}
	c.Estimate = estimateSingleEngine(c, r)
	return weightByUrgency(c.Estimate.Complete, c.slack)
}

// maxUrgency bounds the weight of a request that is late already.
const maxUrgency = 3.0

// urgent weights a time by the share of the slack that it takes up.
func weightByUrgency(t, slack time.Duration) time.Duration {
	if slack == noSlack {
		return t
	}
	share := maxUrgency
	if slack > 0 {
		share = min(maxUrgency, float64(t)/float64(slack))
	}
	return time.Duration(float64(t) * share)
}

// noSlack stands for a request without a deadline.
const noSlack = time.Duration(-1 << 63)

// occupancyScorer costs the time that the request takes from others.
type occupancyScorer struct{ weight float64 }

func (s occupancyScorer) Cost(c *Candidate, r *Request) time.Duration {
	if c.Upstream.Kind == infra.KindService {
		return 0
	}
	prompt := max(0, r.PromptTokens-c.CachedTokens)
	return seconds(s.weight * c.occupancy(prompt, r.OutputTokens))
}

// crossScorer costs leaving the data centre beyond the latency, which
// timeScorer counts: links between data centres are shared and may part.
type crossDCScorer struct{ cfg *Config }

func (s crossDCScorer) Cost(c *Candidate, _ *Request) time.Duration { return s.cfg.crossDCCost(c) }

func (cfg *Config) crossDCCost(c *Candidate) time.Duration {
	if c.SameDataCentre {
		return 0
	}
	return cfg.CrossDCPenalty + time.Duration(cfg.CrossDCPenaltyFraction*float64(c.Estimate.Complete))
}

// failureScorer costs the attempts that an upstream's failures would waste: at
// failure rate f the request is expected to be run f/(1-f) times in vain.
type failureScorer struct{}

func (failureScorer) Cost(c *Candidate, _ *Request) time.Duration {
	if c.Trial {
		return 0 // it has been kept out for that already
	}
	f := min(c.node.live.failureRate.load(), maxFailureRate)
	return time.Duration(float64(c.Estimate.Complete) * f / (1 - f))
}

// maxFailureRate bounds the cost of failures.
const maxFailureRate = 0.9

// unknownOutputTokens is the length of an answer until some have been seen.
const defaultOutputTokens = 128

// defaultServiceTime stands in until a plain service has been called.
const defaultServiceTime = 20 * time.Millisecond

// serviceParallel is how many calls a plain service is taken to run at a time.
const assumedServiceConcurrency = 4

// estimateService says how long a plain service's call takes: its usual time,
// longer by the calls of ours that it has in hand.
func estimateService(c *Candidate) Estimate {
	usual := time.Duration(c.node.live.serviceTime.Load())
	if usual <= 0 {
		usual = defaultServiceTime
	}
	queue := usual * time.Duration(c.InFlight) / assumedServiceConcurrency
	complete := queue + usual + 2*c.Link
	return Estimate{queue, complete, complete, usual + 2*c.Link}
}
