package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"tamarackchute/internal/crash"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/reqtarget"
	"tamarackchute/placement"
	"tamarackchute/quarantine"
)

// CrashDetector tracks which requests are in flight where, and tells which have crashed upstreams;
// crash.Detector implements it.
type CrashDetector interface {
	// CheckRequest returns a *quarantine.Error for a request that must not run, and the digest of which
	// only one request may run at a time, if it is suspected.
	CheckRequest(r *quarantine.Request) (suspect quarantine.Digest, suspected bool, err error)
	crash.Claims
	Track(engine crash.Engine, r quarantine.Digester, tried ...quarantine.Digest) *crash.Run
}

// crashEngine returns the name by which an incarnation of an upstream is known to the crash
// detector.
func crashEngine(u *fleet.Upstream) crash.Engine {
	if u.Started.IsZero() {
		return crash.Engine{ID: u.ID}
	}
	return crash.Engine{ID: u.ID, Incarnation: strconv.FormatInt(u.Started.UnixMilli(), 10)}
}

// contentOf returns the content by which the call is recognised when it comes again. It doesn't
// cover what differs with each attempt: IDs and deadlines.
func (c *call) contentOf() quarantine.Request {
	r := quarantine.Request{
		Scope: c.scope(), Method: c.in.Method, Pool: c.pool, Host: reqtarget.Host(c.in.Host), Path: c.target.Origin(), Body: c.body,
	}
	if g := c.Generation; g != nil {
		r.Model, r.Parts = g.Model, sharedParts(g.Parts)
	}
	return r
}

// scope returns the organisation whose requests aren't taken for those of others. To a public rule the same request may come
// with a key, without one, or with one that is removed meanwhile.
func (c *call) scope() string {
	if c.rule.Public {
		return ""
	}
	return c.identity.organisation
}

// sharedParts returns the IDs of the parts of a prompt that other requests may have: all but the last.
func sharedParts(parts []placement.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		ids = append(ids, p.ID)
	}
	return ids
}

var errQuarantined = errors.New("the request is quarantined")

// checkQuarantine returns an error that matches errQuarantined if the request has crashed too many
// upstreams, and notes whether it is suspected of that.
func (c *call) checkQuarantine() error {
	if c.relay.cfg.Crashes == nil {
		return nil
	}
	suspect, suspected, err := c.relay.cfg.Crashes.CheckRequest(&c.content)
	c.trial.suspected, c.trial.digest = suspected, suspect
	if err == nil {
		return nil
	}
	c.relay.metrics.recordQuarantined(c.pool)
	return fmt.Errorf("%w: %w", errQuarantined, err)
}

// failQuarantined returns the failure of a quarantined request.
func (c *call) failQuarantined(err error) *failure {
	f := c.fail(reasonQuarantined, "upstreams crashed each time they ran this request; it isn't run again for now")
	var refusal *quarantine.Error
	if !errors.As(err, &refusal) {
		return f
	}
	c.quarantined = refusal
	if f.status == http.StatusServiceUnavailable {
		f.retryAfter = refusal.RetryAfter
	}
	return f
}

// trackRun records that the request is about to be sent to an upstream.
func (c *call) trackRun(u *fleet.Upstream) {
	if c.relay.cfg.Crashes == nil {
		return
	}
	var tried []quarantine.Digest
	if c.trial.claim != nil {
		tried = append(tried, c.trial.digest)
	}
	c.inFlight = c.relay.cfg.Crashes.Track(crashEngine(u), &c.content, tried...)
}

// endRun ends the record of the attempt in progress, if it was sent. After a crash, the request is
// known as a suspect when it returns.
func (c *call) endRun(ctx context.Context, res result) {
	run := c.inFlight
	c.inFlight = nil
	switch {
	case run == nil:
	case res.done:
		run.Answer(&c.content)
	case res.brokeOff():
		if c.trial.claim != nil {
			ctx = context.WithoutCancel(ctx) // the next copy must find the crash recorded
		}
		run.Break(ctx)
	default:
		run.Drop()
	}
}

// endPrefillRun ends the record of a prefill at another engine than the one that answers. Its
// success doesn't show that the request is harmless: the crash may come with the first token.
func (c *call) endPrefillRun(ctx context.Context, res result) {
	res.done = false
	c.endRun(ctx, res)
}

// brokeOff reports whether the connection to the upstream ended before the response was complete. A
// silent upstream is slow or cut off, which is no sign of a crash.
func (r result) brokeOff() bool {
	return r.reachedUpstream && r.outcome == placement.Unreachable && !gaveUp(r.err)
}
