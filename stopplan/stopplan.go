// Package stopplan decides which requests a process serves that is about to stop, so that none is sent
// on whose response can't reach its caller before the process ends.
package stopplan

import "time"

// Plan is the schedule of a stop.
type Plan struct {
	// Noticed is when callers count as knowing that they have to use other processes.
	Noticed time.Time
	// Exit is when the process ends.
	Exit time.Time
	// Reserve is the time before Exit that a response needs to reach its caller.
	Reserve time.Duration
}

// signalDelay is how long a busy process may take to handle its stop signal: callers count from when it was sent.
const signalDelay = 500 * time.Millisecond

// Begin returns the plan, without a reserve, of a stop whose signal is handled now. Callers may keep a discovery
// response for discoveryTTL from the signal on; the process ends grace later.
func Begin(now time.Time, discoveryTTL, grace time.Duration) Plan {
	expired := now.Add(discoveryTTL)
	return Plan{Noticed: expired.Add(-min(signalDelay, discoveryTTL/2)), Exit: expired.Add(grace)}
}

// Decision says what becomes of a request.
type Decision uint8

// The decisions.
const (
	// Serve means that the request's deadline is early enough.
	Serve Decision = iota
	// Cut means that the request is served with the deadline Latest.
	Cut
	// Refuse means that the request isn't sent: elsewhere it has all of its time.
	Refuse
)

// String returns the decision's name in logs.
func (d Decision) String() string { return [...]string{"serve", "cut", "refuse"}[d] }

// Request is what is known of a request when it is decided.
type Request struct {
	// Deadline is when its caller gives it up; zero if it never does.
	Deadline time.Time
	// MayHaveRun says that an attempt may have run it, so that no refusal can deny that.
	MayHaveRun bool
	// Returnable says that another process has the caller, and goes on with the request if it is returned to it before
	// the exit.
	Returnable bool
	// Expected is how long the request probably lasts from now on; zero if unknown.
	Expected time.Duration
	// OthersServe says that the caller finds another process at once that has all of the time.
	OthersServe bool
	// Elsewhere says that another process has the caller, and can hand the request to one that doesn't stop.
	Elsewhere bool
}

// Latest is the latest deadline at which a response still reaches its caller.
func (p Plan) Latest() time.Time { return p.Exit.Add(-p.Reserve) }

// Decide returns what becomes of a request that is complete now and about to be sent. It is asked before
// each attempt: the body, or the wait for a place, may have taken time.
func (p Plan) Decide(r Request, now time.Time) Decision {
	latest := p.Latest()
	switch {
	case !r.Deadline.IsZero() && !r.Deadline.After(latest):
		return Serve
	case r.Elsewhere && !r.MayHaveRun:
		return Refuse
	case r.Returnable && now.Before(latest):
		return Serve
	case r.Returnable:
		return Refuse
	case r.MayHaveRun:
		return Cut
	case r.OthersServe && now.Add(r.Expected).After(latest):
		return Refuse
	case now.Before(p.Noticed) && now.Before(latest):
		return Cut
	default:
		return Refuse
	}
}
