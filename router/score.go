package router

import (
	"time"

	"tamarackchute/infra"
)

// Scorer returns what an upstream would cost a request, as a time. Costs add up.
type Scorer interface {
	Cost(c *Candidate, r *Request) time.Duration
}

// timeScorer scores the expected time to the complete response, weighted by the
// fraction of the time until the deadline that it takes: a request with much time
// left can queue, and leaves an idle engine to a more urgent one.
type timeScorer struct{}

func (timeScorer) Cost(c *Candidate, r *Request) time.Duration {
	if c.Upstream.Kind == infra.KindService {
		c.Estimate = estimateService(c)
		return c.Estimate.Complete
	}
	c.Estimate = estimateSingleEngine(c, r)
	return weightByUrgency(c.Estimate.Complete, c.timeLeft)
}

// maxUrgency bounds the weight of a request that will miss its deadline.
const maxUrgency = 3.0

// weightByUrgency weights a time by the fraction of the time left that it takes.
func weightByUrgency(t, timeLeft time.Duration) time.Duration {
	if timeLeft == noDeadline {
		return t
	}
	share := maxUrgency
	if timeLeft > 0 {
		share = min(maxUrgency, float64(t)/float64(timeLeft))
	}
	return time.Duration(float64(t) * share)
}

// noDeadline marks a request without a deadline.
const noDeadline = time.Duration(-1 << 63)

// occupancyScorer scores the time that the request takes from others.
type occupancyScorer struct{ weight float64 }

func (s occupancyScorer) Cost(c *Candidate, r *Request) time.Duration {
	if c.Upstream.Kind == infra.KindService {
		return 0
	}
	prompt := max(0, r.PromptTokens-c.CachedTokens)
	return seconds(s.weight * c.occupancy(prompt, r.OutputTokens))
}

// crossDCScorer scores leaving the data centre beyond the latency, which
// timeScorer counts: links between data centres are shared and may fail.
type crossDCScorer struct{ cfg *Config }

func (s crossDCScorer) Cost(c *Candidate, _ *Request) time.Duration { return s.cfg.crossDCCost(c) }

func (cfg *Config) crossDCCost(c *Candidate) time.Duration {
	if c.SameDataCentre {
		return 0
	}
	return cfg.CrossDCPenalty + time.Duration(cfg.CrossDCPenaltyFraction*float64(c.Estimate.Complete))
}

// failureScorer scores attempts expected to fail: at failure rate f, a request is
// expected to fail f/(1-f) times before it succeeds.
type failureScorer struct{}

func (failureScorer) Cost(c *Candidate, _ *Request) time.Duration {
	if c.Probing {
		return 0 // the ejection has accounted for its failures
	}
	f := min(c.node.live.failureRate.load(), maxFailureRate)
	return time.Duration(float64(c.Estimate.Complete) * f / (1 - f))
}

// maxFailureRate bounds the cost of failures.
const maxFailureRate = 0.9

// defaultOutputTokens is the assumed output length until some has been observed.
const defaultOutputTokens = 128

// defaultServiceTime is assumed until a plain service has been called.
const defaultServiceTime = 20 * time.Millisecond

// assumedServiceConcurrency is the number of calls that a plain service is assumed
// to run concurrently.
const assumedServiceConcurrency = 4

// estimateService estimates a plain service's call: its usual time plus the wait
// for this process's calls in flight.
func estimateService(c *Candidate) Estimate {
	usual := time.Duration(c.node.live.serviceTime.Load())
	if usual <= 0 {
		usual = defaultServiceTime
	}
	queue := usual * time.Duration(c.InFlight) / assumedServiceConcurrency
	complete := queue + usual + 2*c.Link
	return Estimate{queue, complete, complete, usual + 2*c.Link}
}
