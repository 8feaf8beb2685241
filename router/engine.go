package router

import (
	"math"
	"time"
)

// engineModel models an engine with chunked prefill. It works in steps; each
// decodes one token for every stream in the batch and prefills one chunk of
// prompts in order of arrival. The parameters come from the load report,
// corrected by the learned factors.
type engineModel struct {
	prefill            float64 // prompt tokens a second without concurrent streams
	stepSingle         float64 // seconds of a step with one stream
	stepFull           float64 // seconds of a step with a full batch
	batch              int
	stepSingleReported float64 // stepSingle by the report alone
	chunk              float64 // prompt tokens in a step that also decodes
}

// modelOf uses the report's rates, or the configured ones where there is none,
// corrected by the learned factors.
func modelOf(cfg *Config, u *Upstream, l *liveState) engineModel {
	m := engineModel{prefill: u.Report.PrefillPerSecond, batch: u.Report.MaxBatch, chunk: cfg.ChunkTokens}
	decode := u.Report.DecodePerSecond
	if m.prefill <= 0 {
		m.prefill = cfg.PrefillPerSecond
	}
	if decode <= 0 {
		decode = cfg.DecodePerSecond
	}
	if m.batch <= 0 {
		m.batch = cfg.MaxBatch
	}
	m.prefill /= l.prefillFactor.load()
	m.stepFull = float64(m.batch) / decode * l.gapFactor.load()
	m.stepSingle = m.stepFull * cfg.SingleStreamStepFraction
	m.stepSingleReported = m.stepSingle / l.gapFactor.load()
	return m
}

// step returns the time of one step with a number of streams, in seconds.
func (m *engineModel) step(streams int) float64 {
	if streams <= 0 {
		return 0
	}
	if m.batch <= 1 {
		return m.stepFull
	}
	streams = min(streams, m.batch)
	return m.stepSingle + m.slope()*float64(streams-1)
}

// slope is the time that each further stream adds to a step.
func (m *engineModel) slope() float64 {
	if m.batch <= 1 {
		return 0
	}
	return (m.stepFull - m.stepSingle) / float64(m.batch-1)
}

// prefillSeconds is the prefill time of prompt tokens with concurrent streams.
func (m *engineModel) prefillSeconds(tokens float64, streams int) float64 {
	return tokens/m.prefill + tokens/m.chunk*m.step(streams)
}

// queueWaitSeconds is the wait of a new request for the prompts ahead of it, for
// a batch slot and for KV memory.
func (c *Candidate) queueWaitSeconds() float64 {
	streams := min(c.Work.Requests, c.model.batch)
	return c.model.prefillSeconds(float64(c.Work.PromptTokens), streams) + c.slotWaitSeconds()
}

// slotWaitSeconds is the wait for a batch slot and for KV memory.
func (c *Candidate) slotWaitSeconds() float64 {
	m := &c.model
	var wait float64
	responseTime := c.node.live.meanOutput.load() * m.step(m.batch)
	if over := c.Work.Requests + 1 - m.batch; over > 0 {
		wait += responseTime * float64(over) / float64(m.batch)
	}
	return wait + c.kvWaitSeconds(responseTime)
}

// kvWaitSeconds is the wait for KV memory. What is in use is freed as responses
// end, all of it within about the time of one response.
func (c *Candidate) kvWaitSeconds(responseTime float64) float64 {
	total := c.Upstream.Report.KVTotalTokens
	if total <= 0 || c.kvTokens == 0 {
		return 0
	}
	over := c.Work.KVTokens + c.kvTokens - total
	if over <= 0 {
		return 0
	}
	return responseTime * float64(over) / float64(max(over, c.Work.KVTokens))
}

// estimateSingleEngine estimates a request with prefill and decode on one engine.
func estimateSingleEngine(c *Candidate, r *Request) Estimate {
	m := &c.model
	streams := min(c.Work.Requests, m.batch)
	prompt := max(1, r.PromptTokens-c.CachedTokens)
	queue := c.queueWaitSeconds()
	first := queue + m.prefillSeconds(float64(prompt), streams) + m.step(streams+1) + 2*c.Link.Seconds()
	output := c.node.expectedOutput(r)
	complete := first + output*m.step(streams+1)
	return Estimate{seconds(queue), seconds(first), seconds(complete), m.unloadedTime(float64(prompt), output)}
}

// unloadedTime is the time of a response at an idle engine. It leaves out the
// learned gap factor.
func (m *engineModel) unloadedTime(prompt, output float64) time.Duration {
	return seconds(prompt/m.prefill + output*m.stepSingleReported)
}

// occupancy is the time in seconds that a request takes from others: each stream
// waits during its prefill and for what its tokens add to the steps. It is 0 at
// an idle engine.
func (c *Candidate) occupancy(prompt, output int) float64 {
	m := &c.model
	streams := float64(min(c.Work.Requests, m.batch))
	return streams * (float64(prompt)/m.prefill + float64(output)*m.slope())
}

// maxEstimate bounds estimates so that sums of costs can't overflow.
const maxEstimate = time.Hour

// seconds converts to a duration of at most maxEstimate.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}
