package relay

import (
	"net/http"
	"time"
)

// reason says in a word why a request failed; it stands in logs and metrics.
type reason string

// The reasons.
const (
	reasonBadHead  reason = "bad head"
	reasonBadBody  reason = "bad body"
	reasonTooLarge reason = "too large"
	reasonNoConfig reason = "no configuration"
	reasonNoRule   reason = "no rule"
	reasonNoPlace  reason = "no place"
	reasonTooLate  reason = "too late to be whole"
	reasonNoBudget reason = "no retry budget"
	reasonAttempts reason = "no attempts left"
	reasonDeadline reason = "deadline"
	reasonLost     reason = "answer lost"
	reasonGone     reason = "caller gone"
	reasonLeaving  reason = "leaving"
)

// failure is the end of a request without an upstream's answer.
type failure struct {
	status     int
	reason     reason
	message    string
	retryAfter time.Duration
}

func refused(status int, why reason, message string) *failure {
	return &failure{status: status, reason: why, message: message}
}

func (f *failure) after(d time.Duration) *failure {
	f.retryAfter = d
	return f
}

// refuse answers with a failure of the system's own.
func (r *Relay) refuse(w http.ResponseWriter, in *http.Request, c *call, f *failure) {
	c.logEnd(f)
	if in.Context().Err() != nil {
		return // nobody reads the answer
	}
	r.cfg.Dialect.WriteError(w, f.status, f.retryAfter, f.message)
}
