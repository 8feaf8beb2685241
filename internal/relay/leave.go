package relay

import (
	"net/http"
	"time"
)

// leave says when the process ends.
type leave struct {
	// known is when the last caller has learnt to go elsewhere.
	known time.Time
	exit  time.Time
	// others reports whether other daemons serve.
	others func() bool
}

// BeginShutdown tells when the process ends. From now on each answer is the last of its connection,
// and no request is taken that would be cut off by the exit.
//
// Callers that can't know yet that the process ends are served until then. Those that come
// after known are turned away unless their deadline comes before the exit: elsewhere they have
// all of their time. They may go there at once if others serve.
func (r *Relay) BeginShutdown(known, exit time.Time, others func() bool) {
	r.leave.Store(&leave{known: known, exit: exit, others: others})
}

// leaving bounds the call by the end of the process, or returns why it isn't taken.
func (c *call) leaving() *failure {
	l := c.relay.leave.Load()
	if l == nil {
		return nil
	}
	latest := l.exit.Add(-answerSlack)
	if !c.deadline.After(latest) {
		return nil
	}
	if c.arrived.Before(l.known) && c.arrived.Before(latest) {
		c.deadline = latest
		return nil
	}
	f := refused(http.StatusServiceUnavailable, reasonLeaving, "this daemon may stop before the answer's end")
	if l.others() {
		return f
	}
	return f.after(c.retryAfter())
}
