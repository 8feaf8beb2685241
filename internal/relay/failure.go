package relay

import (
	"net/http"
	"time"
)

// reason says why a request failed. It is a value in logs and metrics.
type reason string

const (
	reasonBadHeaders     reason = "bad head"
	reasonBadBody        reason = "bad body"
	reasonTooLarge       reason = "too large"
	reasonNoMemory       reason = "no memory"
	reasonNoConfig       reason = "no configuration"
	reasonOlderConfig    reason = "older configuration"
	reasonNoRule         reason = "no rule"
	reasonNoCapacity     reason = "no place"
	reasonUnreachable    reason = "unreachable"
	reasonAllBackingOff  reason = "all back off"
	reasonCannotComplete reason = "too late to be whole"
	reasonNoBudget       reason = "no retry budget"
	reasonNoAttempts     reason = "no attempts left"
	reasonDeadline       reason = "deadline"
	reasonResponseLost   reason = "answer lost"
	reasonCallerGone     reason = "caller gone"
	reasonShuttingDown   reason = "leaving"
	reasonNoKey          reason = "no key"
	reasonUnknownKey     reason = "unknown key"
	reasonStaleKeys      reason = "stale keys"
	reasonQuarantined    reason = "quarantined"
	reasonSuspected      reason = "suspected"
	reasonVersionUnknown reason = "version unknown"
	reasonVersionGone    reason = "version gone"
)

// failure describes a request that ends without an upstream's response.
type failure struct {
	status     int
	reason     reason
	message    string
	retryAfter time.Duration
	// elsewhere says that another daemon has decided it.
	elsewhere bool
	// withheld is the reason for which the request would have been refused for good.
	withheld reason
}

func newFailure(status int, why reason, message string) *failure {
	return &failure{status: status, reason: why, message: message}
}

func (f *failure) withRetryAfter(d time.Duration) *failure {
	f.retryAfter = d
	return f
}

// dependsOnConfig reports whether a newer configuration may change the decision.
func (f *failure) dependsOnConfig() bool {
	switch f.reason {
	case reasonNoRule, reasonNoKey, reasonUnknownKey, reasonTooLarge, reasonOlderConfig, reasonStaleKeys:
		return true
	}
	return false
}

// deniedFor returns the reason if the failure refuses the request for good by the configuration in
// force here, and otherwise none.
func (f *failure) deniedFor() reason {
	switch f.status {
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusRequestEntityTooLarge:
		if !f.elsewhere {
			return f.reason
		}
	}
	return ""
}

// withholdDenial replaces a failure that refuses a request for good, if the configuration in force isn't
// known to be the newest.
func (c *call) withholdDenial(f *failure) *failure {
	denied := f.deniedFor()
	if denied == "" || c.relay.standing().MayDeny() {
		return f
	}
	withheld := c.fail(reasonOlderConfig, "this daemon's configuration may not be the newest")
	withheld.withheld = denied
	return withheld
}

// writeFailure logs a failure and sends it to the caller as the relay's own response. The connection of a
// caller that has left is broken off: net/http answers 200 for a handler that writes nothing, and a caller
// that has closed its sending side only still reads that.
func (r *Relay) writeFailure(w http.ResponseWriter, in *http.Request, c *call, f *failure) {
	f = c.withholdDenial(f)
	c.logEnd(f)
	if c.callerGone() && !c.bodyCut {
		c.abort()
	}
	if f.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	c.addOutcome(w.Header(), c.failureOutcome(f))
	c.addReturn(w.Header(), f)
	r.cfg.Dialect.WriteError(w, f.status, f.retryAfter, f.message)
}
