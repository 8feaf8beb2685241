package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tamarackchute/internal/entry/outcome"
	"tamarackchute/quarantine"
	"tamarackchute/router"
)

const (
	// maxTurnWait limits how long a suspected call waits until no other copy of it runs, and no other
	// suspect where it would run. It looks again each turnInterval.
	maxTurnWait  = time.Second
	turnInterval = 20 * time.Millisecond
)

// errSuspected stops an attempt whose call became a suspect after it was placed.
var errSuspected = errors.New("the call is suspected of crashing services")

// waitsForTurn reports whether a suspected call wasn't sent because others are in its way.
func waitsForTurn(err error) bool {
	var noUpstream *router.NoUpstreamError
	return errors.Is(err, quarantine.ErrReserved) ||
		errors.As(err, &noUpstream) && noUpstream.Reason == router.NoUpstreamIsolation
}

// waitForTurn waits for a moment, and reports whether to try again.
func (c *call) waitForTurn(ctx context.Context) bool {
	if c.waited >= maxTurnWait {
		return false
	}
	c.waited += turnInterval
	timer := time.NewTimer(turnInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// turnFailure returns the failure of a suspected call that got no turn.
func (c *call) turnFailure() *outcome.Failure {
	cause := c.runner.CrashDetector.IsolationError(c.digest)
	f := c.fail(http.StatusServiceUnavailable, outcome.CodeNoUpstream, cause, "the call was in flight when a service crashed, and waits for its turn")
	var refusal *quarantine.Error
	if errors.As(cause, &refusal) {
		f.RetryAfter = refusal.RetryAfter
	}
	return f
}
