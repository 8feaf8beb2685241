package relay

import (
	"log/slog"
	"time"

	"tamarackchute/internal/telemetry"
)

// logAttempt counts an attempt and writes one line on it: where it went, by which figures,
// and how it ended.
func (c *call) logAttempt(p *place, res result) {
	c.relay.metrics.attempt(c, p, res)
	level := slog.LevelInfo
	if !res.done {
		level = slog.LevelWarn
	}
	attrs := []any{
		"request", c.ID, "upstream", p.target.ID, "pool", c.pool, "config", c.version,
		"waited_ms", telemetry.Millis(p.waited), "expected_ms", telemetry.Millis(p.plan.FirstToken),
		"prompt", c.promptTokens(), "output", c.outputTokens(), "max_output", c.maxOutput(),
		"uncached", p.plan.Uncached, "fetched", p.plan.Transferred, "reread", p.plan.Recomputes,
		"queue_ms", telemetry.Millis(p.plan.QueueTime), "ideal_ms", telemetry.Millis(p.plan.IdealFirstToken),
		"expected_gap_ms", telemetry.Millis(p.plan.MaxGap), "behind", c.behind, "considered", p.plan.Candidates,
		"read_ms", telemetry.Millis(p.read), "first_ms", telemetry.Millis(p.first),
		"lasted_ms", telemetry.Millis(time.Since(p.sentAt)), "done", res.done, "status", res.status,
	}
	if p.plan.LongStream {
		attrs = append(attrs, c.wholeAttrs(p)...)
	}
	if p.prefill != nil {
		attrs = append(attrs, "prefill", p.prefill.ID)
	}
	if res.err != nil {
		attrs = append(attrs, "fate", res.fate.String(), "err", res.err)
	}
	c.log.Log(c.in.Context(), level, "attempt", attrs...)
}

// wholeAttrs tells whether a long answer was expected whole in time, and how far it came.
func (c *call) wholeAttrs(p *place) []any {
	return []any{
		"beside", p.plan.Concurrent, "expected_whole_ms", telemetry.Millis(p.plan.Completion),
		"left_ms", telemetry.Millis(c.deadline.Sub(p.sentAt)), "events", c.eventsOf(p),
	}
}

// logEnd counts a request and writes the line on its end; nil says that it was answered by an
// upstream.
func (c *call) logEnd(f *failure) {
	c.relay.metrics.ended(c, f)
	attrs := []any{"request", c.ID, "took_ms", telemetry.Millis(time.Since(c.arrived)), "attempts", c.tries.Attempts(), "config", c.version}
	if c.rule != nil {
		attrs = append(attrs, "rule", c.rule.Name, "pool", c.pool)
	}
	if c.stream != nil {
		attrs = append(attrs, "first_ms", telemetry.Millis(c.stream.started.Sub(c.arrived)), "objective_ms", telemetry.Millis(c.rule.Objective),
			"gap_ms", telemetry.Millis(c.stream.gap), "gap_objective_ms", telemetry.Millis(c.rule.PauseObjective), "last_event", c.stream.last)
	}
	if f == nil {
		c.log.Info("answered", attrs...)
		return
	}
	if f.reason == reasonNoPlace {
		attrs = append(attrs, "expected_ms", telemetry.Millis(c.looked.FirstToken), "queue_ms", telemetry.Millis(c.looked.QueueTime),
			"ideal_ms", telemetry.Millis(c.looked.IdealFirstToken), "uncached", c.looked.Uncached, "reread", c.looked.Recomputes,
			"considered", c.looked.Candidates, "objective_ms", telemetry.Millis(c.rule.Objective), "comeback", c.comeback)
	}
	if f.reason == reasonNoRule {
		attrs = append(attrs, "host", c.in.Host, "path", pathOf(c.in.RequestURI))
	}
	attrs = append(attrs, "status", f.status, "reason", string(f.reason), "ran", c.tries.Ran(), "retry_after_ms", telemetry.Millis(f.retryAfter))
	c.log.Warn("failed", attrs...)
}

func (c *call) promptTokens() int {
	if c.Generation == nil {
		return 0
	}
	return c.Generation.PromptTokens
}

func (c *call) maxOutput() int {
	if c.Generation == nil {
		return 0
	}
	return c.Generation.MaxOutput
}

// eventsOf returns how many events of an attempt's stream the caller has got.
func (c *call) eventsOf(p *place) int {
	if c.stream == nil {
		return 0
	}
	return c.stream.last - p.after
}

func (c *call) outputTokens() int {
	if c.Generation == nil {
		return 0
	}
	return expectedOutput(c.Generation)
}
