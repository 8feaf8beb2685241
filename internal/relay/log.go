package relay

import (
	"log/slog"
	"strconv"
	"time"

	"tamarackchute/freshness"
	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/telemetry"
	"tamarackchute/placement"
)

// logAttempt counts an attempt and logs where it went, by which estimates, and how it
// ended.
func (c *call) logAttempt(p *assignment, res result) {
	c.relay.metrics.recordAttempt(c, p, res)
	level := slog.LevelInfo
	if !res.done {
		level = slog.LevelWarn
	}
	attrs := []any{"request", c.ID, "upstream", p.target.ID, "done", res.done, "status", res.status}
	if res.err != nil {
		attrs = append(attrs, "fate", res.execution.String(), "err", res.err)
	}
	attrs = append(attrs,
		"lasted_ms", telemetry.Millis(time.Since(p.sentAt)), "first_ms", telemetry.Millis(p.firstEventTime), "events", c.eventsOf(p),
		"version", p.target.Version, "pool", c.pool, "config", c.version,
		"waited_ms", telemetry.Millis(p.waited), "expected_ms", telemetry.Millis(p.plan.FirstToken),
		"prompt", c.promptTokens(), "output", c.outputTokens(), "max_output", c.maxOutput(),
		"uncached", p.plan.Uncached, "fetched", p.plan.Transferred, "reread", p.plan.Recomputes,
		"queue_ms", telemetry.Millis(p.plan.QueueTime), "ideal_ms", telemetry.Millis(p.plan.IdealFirstToken),
		"expected_gap_ms", telemetry.Millis(p.plan.MaxGap), "behind", c.late, "considered", p.plan.Candidates,
		"read_ms", telemetry.Millis(p.prefillTime),
	)
	if p.ticket.LastResort() || p.prefillTicket.LastResort() {
		c.relay.metrics.recordLastResort(c.pool)
		attrs = append(attrs, "last_resort", true)
	}
	if p.plan.LongStream {
		attrs = append(attrs, c.completionAttrs(p)...)
	}
	if p.prefill != nil {
		attrs = append(attrs, "prefill", p.prefill.ID)
	}
	if s := c.relay.standing(); s.Newest > c.version {
		attrs = append(attrs, standingAttrs(s)...)
	}
	if res.execution == dispatch.MayHaveRun && !res.done {
		attrs = append(attrs, "digest", c.content.Digest().String(), "parts", c.partNames())
	}
	c.log.Log(c.in.Context(), level, "attempt", attrs...)
}

// logForward logs to which daemon the request was forwarded, and how that ended.
func (c *call) logForward(p *assignment, res result, f *failure) {
	c.relay.metrics.recordForward(c.pool, res)
	attrs := []any{"request", c.ID, "to", p.peer.Instance, "done", res.done, "status", res.status}
	if !res.done {
		attrs = append(attrs, "fate", res.execution.String(), "err", res.err)
	}
	attrs = append(attrs,
		"lasted_ms", telemetry.Millis(time.Since(p.sentAt)), "first_ms", telemetry.Millis(p.firstEventTime), "events", c.eventsOf(p),
		"path_lost", c.relay.paths.IsLost(c.pool), "address", p.peer.Address, "pool", c.pool, "config", c.version,
	)
	if p.peerUpstream != "" {
		attrs = append(attrs, "at", p.peerUpstream)
	}
	if f != nil {
		attrs = append(attrs, "reason", string(f.reason))
	}
	if res.done {
		c.log.Info("forwarded", attrs...)
		return
	}
	c.log.Warn("forwarded", attrs...)
}

// completionAttrs returns the attributes of a long response: whether it was expected to
// complete within the deadline, and how far it came.
func (c *call) completionAttrs(p *assignment) []any {
	return []any{
		"beside", p.plan.Concurrent, "expected_whole_ms", telemetry.Millis(p.plan.Completion),
		"left_ms", telemetry.Millis(c.deadline.Sub(p.sentAt)),
	}
}

// logEnd counts a request and logs its end; a nil failure means that an upstream answered.
func (c *call) logEnd(f *failure) {
	c.relay.metrics.recordRequest(c, f)
	if c.forwarded == nil {
		c.relay.outages.record(c.pool, f)
	}
	attrs := []any{"request", c.ID}
	if f != nil {
		attrs = append(attrs, "reason", string(f.reason), "status", f.status, "ran", c.attempts.MayHaveRun())
	}
	attrs = append(attrs, "took_ms", telemetry.Millis(time.Since(c.arrived)), "attempts", c.attempts.Attempts(), "config", c.version)
	if c.forwarded != nil {
		attrs = append(attrs, "forwarded_by", c.forwarded.From)
	}
	if c.rule != nil {
		attrs = append(attrs, "rule", c.rule.Name, "pool", c.pool)
	}
	if c.stream != nil {
		attrs = append(attrs, "first_ms", telemetry.Millis(c.stream.started.Sub(c.arrived)), "objective_ms", telemetry.Millis(c.rule.Objective),
			"gap_ms", telemetry.Millis(c.stream.longestGap), "gap_objective_ms", telemetry.Millis(c.rule.GapObjective), "last_event", c.stream.lastEvent)
	}
	if c.ResumeAfter > 0 && c.Resumes != "" {
		attrs = append(attrs, "resumes", c.Resumes, "resume_after", c.ResumeAfter, "begun_at_version", c.origin.version)
	}
	if f == nil {
		c.log.Info("answered", attrs...)
		return
	}
	if f.reason == reasonNoCapacity || f.reason == reasonUnreachable {
		attrs = append(attrs, c.poolAttrs()...)
		attrs = append(attrs, "expected_ms", telemetry.Millis(c.lastPlan.FirstToken), "queue_ms", telemetry.Millis(c.lastPlan.QueueTime),
			"ideal_ms", telemetry.Millis(c.lastPlan.IdealFirstToken), "uncached", c.lastPlan.Uncached, "reread", c.lastPlan.Recomputes,
			"considered", c.lastPlan.Candidates, "objective_ms", telemetry.Millis(c.rule.Objective), "comeback", c.retried)
	}
	if c.quarantined != nil {
		attrs = append(attrs, "digest", c.quarantined.Digest.String(), "part", c.quarantined.Digest.IsPart(), "parts", c.partNames(), "crashed", c.quarantined.Verdict.Upstreams)
	}
	if f.dependsOnConfig() {
		attrs = append(attrs, standingAttrs(c.relay.standing())...)
	}
	if f.withheld != "" {
		attrs = append(attrs, "withheld", string(f.withheld))
	}
	if f.reason == reasonNoRule || f.withheld == reasonNoRule {
		attrs = append(attrs, "host", c.in.Host, "path", c.target.Path)
	}
	if f.reason == reasonVersionUnknown || f.reason == reasonVersionGone {
		attrs = append(attrs, "stream", c.streamID(), "begun_at_version", c.origin.version, "list_read", c.origin.listRead, "versions", servingVersions(c.relay.cfg.State.Snapshot(), c.pool))
	}
	if f.reason == reasonNoBudget {
		b := c.relay.cfg.RetryBudget.PoolState(c.pool)
		attrs = append(attrs, "window_requests", b.Requests, "window_retries", b.Retries, "window_allowed", b.Allowed)
	}
	if f.reason == reasonSuspected {
		attrs = append(attrs, "digest", c.trial.digest.String())
	}
	attrs = append(attrs, "retry_after_ms", telemetry.Millis(f.retryAfter))
	c.log.Warn("failed", attrs...)
}

// maxLoggedExclusions bounds the upstreams named in one line of the log.
const maxLoggedExclusions = 8

// poolAttrs returns the attributes of what the pool had left for a request that wasn't placed.
func (c *call) poolAttrs() []any {
	tracker := c.relay.cfg.Tracker
	health, use := tracker.PoolHealth(c.pool), tracker.PoolUse(c.pool, maxLoggedExclusions)
	excluded := make([]string, len(use.Excluded))
	for i, x := range use.Excluded {
		excluded[i] = x.String()
	}
	attrs := []any{
		"listed", health.Listed, "ejected", health.Ejected, "unreachable", health.Unreachable,
		"usable", use.Usable, "full", use.Full, "excluded", excluded, "tried", c.excluded,
		"queued_ms", telemetry.Millis(c.queued), "queued_behind", c.queuedBehind, "tries", c.tries,
	}
	if c.origin.fixed {
		of := tracker.UseWithout(c.pool, c.otherVersions(c.relay.cfg.State.Snapshot()), 0)
		attrs = append(attrs, "version_listed", of.Listed, "version_answering", of.Answering, "version_usable", of.Usable, "version_full", of.Full)
	}
	return append(attrs, c.rejectionAttrs()...)
}

// rejectionAttrs returns the attributes of why no engine of the pool takes the request.
func (c *call) rejectionAttrs() []any {
	if c.Generation == nil {
		return nil
	}
	req := c.placementRequest()
	req.Late = c.late
	j := c.relay.cfg.Tracker.Rejections(c.pool, req)
	return []any{
		"rejected_unsuited", j.Excluded, "rejected_full", j.Full, "rejected_unmeasured", j.Unmeasured,
		"rejected_undecodable", j.Undecodable, "rejected_busy", j.Busy, "late_share_taken", j.LateShareTaken,
	}
}

// standingAttrs returns the attributes of how current the configuration in force is.
func standingAttrs(s freshness.Standing) []any {
	return []any{"config_age_ms", freshness.Millis(s.Age), "proven_by", s.ProvenBy, "newest_config", s.Newest, "named_by", s.NamedBy, "behind_ms", telemetry.Millis(s.Behind)}
}

// endTicket ends an attempt's ticket at an upstream, and logs what that changed in its health.
func (c *call) endTicket(u *fleet.Upstream, t *placement.Ticket, res result) {
	if res.outcome == placement.Unreachable {
		c.relay.paths.Failed(u.Pool)
	}
	change := t.End(res.outcome)
	if change == placement.HealthUnchanged {
		return
	}
	c.relay.metrics.recordHealth(u.Pool, change)
	attrs := c.relay.healthAttrs(u, c.ID)
	if change == placement.HealthReadmitted {
		c.log.Info("upstream readmitted", attrs...)
		return
	}
	c.log.Warn("upstream ejected", append(attrs, "err", res.err)...)
}

// logSilent logs that an upstream was ejected for its silence.
func (r *Relay) logSilent(u *fleet.Upstream, request string) {
	r.metrics.recordHealth(u.Pool, placement.HealthEjected)
	r.cfg.Logger.Warn("upstream ejected", append(r.healthAttrs(u, request), "err", errStalled)...)
}

// recordHeard logs that an upstream which was ejected for its silence was heard, if it was.
func (r *Relay) recordHeard(readmitted bool, u *fleet.Upstream, request string) {
	if !readmitted {
		return
	}
	r.metrics.recordHealth(u.Pool, placement.HealthReadmitted)
	r.cfg.Logger.Info("upstream readmitted", r.healthAttrs(u, request)...)
	r.WakeWaiting()
}

// healthAttrs returns the attributes of a change in an upstream's health.
func (r *Relay) healthAttrs(u *fleet.Upstream, request string) []any {
	health := r.cfg.Tracker.PoolHealth(u.Pool)
	return []any{
		"upstream", u.ID, "started", u.Started, "pool", u.Pool, "request", request,
		"listed", health.Listed, "ejected", health.Ejected, "unreachable", health.Unreachable,
	}
}

// mismatchRecorder returns a function that counts and logs an upstream's responses that
// were dropped because they belong to other requests.
func (r *Relay) mismatchRecorder(u *fleet.Upstream) func(exchange.Mismatch) {
	return func(m exchange.Mismatch) {
		r.metrics.recordMismatch()
		r.cfg.Logger.Warn("response to another request dropped", "request", m.Wanted, "found", m.Found, "status", m.Status,
			"upstream", u.ID, "address", u.Address, "reused", m.Reused)
	}
}

// partNames returns the parts of the prompt that other requests may have, as callers name them.
func (c *call) partNames() []string {
	names := make([]string, 0, len(c.content.Parts))
	for _, id := range c.content.Parts {
		names = append(names, strconv.FormatUint(id, 16))
	}
	return names
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

// eventsOf returns how many events of an attempt's stream were sent to the caller.
func (c *call) eventsOf(p *assignment) int {
	if c.stream == nil {
		return 0
	}
	return c.stream.lastEvent - p.resumedAfter
}

func (c *call) outputTokens() int {
	if c.Generation == nil {
		return 0
	}
	return expectedOutput(c.Generation)
}
