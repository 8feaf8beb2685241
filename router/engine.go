package router

import (
	"math"
	"time"
)

// engineModel is what the router takes an engine to be: it works in steps, each
// of which makes one token for every stream in the batch and, between, works
// through a chunk of prompts in order of arrival. Its parts come from the load
// report, corrected by what was learnt.
type engineModel struct {
	prefill            float64 // prompt tokens a second without streams
	stepSingle         float64 // seconds of a step with one stream
	stepFull           float64 // seconds of a step with a full batch
	batch              int
	stepSingleReported float64 // stepFirst by the report alone
	chunk              float64 // prompt tokens in a step that also makes tokens
}

// modelOf takes the report's rates, or the settings' where there is none, and
// corrects them by what was learnt.
func modelOf(cfg *Config, u *Upstream, l *liveState) engineModel {
	m := engineModel{prefill: u.Report.PrefillPerSec, batch: u.Report.MaxBatch, chunk: cfg.ChunkTokens}
	decode := u.Report.DecodePerSec
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

// step is the time of one step with a number of streams, in seconds.
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

// slope is what one more stream adds to a step.
func (m *engineModel) slope() float64 {
	if m.batch <= 1 {
		return 0
	}
	return (m.stepFull - m.stepSingle) / float64(m.batch-1)
}

// prefillSeconds is the time for prompt tokens beside a number of streams.
func (m *engineModel) prefillSeconds(tokens float64, streams int) float64 {
	return tokens/m.prefill + tokens/m.chunk*m.step(streams)
}

// queueSeconds is the wait of a new request for the prompts ahead of it, for a
// place in the batch and for KV memory.
func (c *Candidate) queueWaitSeconds() float64 {
	streams := min(c.Work.Requests, c.model.batch)
	return c.model.prefillSeconds(float64(c.Work.PromptTokens), streams) + c.slotWaitSeconds()
}

// placeSeconds is the wait for a place in the batch and for KV memory.
func (c *Candidate) slotWaitSeconds() float64 {
	m := &c.model
	var wait float64
	answer := c.node.live.meanOutput.load() * m.step(m.batch)
	if over := c.Work.Requests + 1 - m.batch; over > 0 {
		wait += answer * float64(over) / float64(m.batch)
	}
	return wait + c.kvWaitSeconds(answer)
}

// memorySeconds is the wait for KV memory: what is in use comes free as the
// answers end, all of it within about the time of an answer.
func (c *Candidate) kvWaitSeconds(answer float64) float64 {
	total := c.Upstream.Report.KVTotalTokens
	if total <= 0 || c.kvTokens == 0 {
		return 0
	}
	over := c.Work.KVTokens + c.kvTokens - total
	if over <= 0 {
		return 0
	}
	return answer * float64(over) / float64(max(over, c.Work.KVTokens))
}

// estimateWhole says how long a request takes that one engine runs whole.
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

// alone is the time of an answer at an idle engine.
func (m *engineModel) unloadedTime(prompt, output float64) time.Duration {
	return seconds(prompt/m.prefill + output*m.stepSingleReported)
}

// occupancy is the time in seconds that a request takes from others: each of
// the streams waits while its prompt is worked through, and for what its own
// tokens add to the steps. An idle engine has nobody to take time from.
func (c *Candidate) occupancy(prompt, output int) float64 {
	m := &c.model
	streams := float64(min(c.Work.Requests, m.batch))
	return streams * (float64(prompt)/m.prefill + float64(output)*m.slope())
}

// longestEstimate bounds times, so that sums of costs can't overflow.
const maxEstimate = time.Hour

// seconds converts, with the bound.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}
