package relay

import (
	"net/http"
	"time"
)

// shutdown holds the schedule of the process's shutdown.
type shutdown struct {
	// noticed is when all callers know that they have to use other daemons.
	noticed time.Time
	exit    time.Time
	// othersServe reports whether other daemons serve.
	othersServe func() bool
}

// BeginShutdown sets when the process exits. From now on each response closes its
// connection, and no request is accepted that the exit would cut off.
//
// Requests that arrive before noticed are served, with their deadlines cut to the exit.
// Later ones are refused unless their deadline is before the exit: at another daemon they
// have all of their time. They may retry at once if others serve.
func (r *Relay) BeginShutdown(noticed, exit time.Time, othersServe func() bool) {
	r.shutdown.Store(&shutdown{noticed: noticed, exit: exit, othersServe: othersServe})
}

// checkShutdown limits the call's deadline to the exit of the process, or returns a
// failure if the call can't be accepted any more.
func (c *call) checkShutdown() *failure {
	s := c.relay.shutdown.Load()
	if s == nil {
		return nil
	}
	latest := s.exit.Add(-deadlineGrace)
	if !c.deadline.After(latest) {
		return nil
	}
	if c.arrived.Before(s.noticed) && c.arrived.Before(latest) {
		c.deadline = latest
		return nil
	}
	f := newFailure(http.StatusServiceUnavailable, reasonShuttingDown, "this daemon may stop before the answer's end")
	if s.othersServe() {
		return f
	}
	return f.withRetryAfter(c.retryAfter())
}
