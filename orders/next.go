package orders

import (
	"fmt"
	"time"

	"tamarackchute/lease"
	"tamarackchute/upstream"
)

// ChangeRequest is a change that a policy of the controller requests.
type ChangeRequest struct {
	// ID becomes the ID of the change if it is started.
	ID     string
	Kind   upstream.OrderKind
	Target Settings
	Reason string
	// Reservation is set if the engine will read the weight store.
	Reservation *Reservation
}

// Limits holds the timeouts and intervals of a leader.
type Limits struct {
	// DrainTimeout is the maximum duration of a drain; then the change is undone.
	DrainTimeout time.Duration
	// OrderTimeout and DrainTimeout together bound the time until the engine has
	// accepted the order.
	OrderTimeout time.Duration
	// SettleTime is the time within which a responsive engine that doesn't enforce
	// fencing has processed everything that was sent to it before.
	SettleTime time.Duration
	// ReadInterval is the time between two reads of the engine's state,
	// MaxStateAge the age up to which a state may be used to decide on an order.
	ReadInterval time.Duration
	MaxStateAge  time.Duration
	// RetryDelay is the wait after a failure, and before a leader acts on an order
	// without a reply.
	RetryDelay time.Duration
}

// maxChangeTime is how long one leader works on a change before it abandons the
// change, unless the engine is executing it.
func (l Limits) maxChangeTime() time.Duration { return l.DrainTimeout + l.OrderTimeout }

// Input is the input of a decision about one engine, together with a Session.
type Input struct {
	Now       time.Time
	Authority lease.Authority
	// Engine is the engine's state according to the journal.
	Engine Engine
	// EnforcesFencing reports whether the engine rejects outdated fencing tokens.
	EnforcesFencing bool
	// Drained reports whether every listed entry instance has applied the open
	// change's drain and reported nothing in flight; if not, WaitReason names the
	// instance that is awaited.
	Drained    bool
	WaitReason string
	// Requested is the requested change, CancelReason the reason to abandon the
	// open one if that is still possible; either may be empty.
	Requested    *ChangeRequest
	CancelReason string
	Limits       Limits
}

// ActionKind is the kind of step that a leader takes next.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionWait does nothing for now.
	ActionWait ActionKind = iota
	// ActionRaiseToken sends Order, which only raises the engine's fencing token.
	ActionRaiseToken
	// ActionRead reads the engine's state.
	ActionRead
	// ActionAppend appends Record.
	ActionAppend
	// ActionSend sends Order.
	ActionSend
	// ActionRenumber requests a higher fencing token from the lease.
	ActionRenumber
)

// Action is one step of a leader.
type Action struct {
	Kind   ActionKind
	Record *Record
	Order  upstream.Order
	// Change is the change that Order belongs to.
	Change Change
	// Reason is shown in the audit trail and on the status page.
	Reason string
}

// Next decides a leader's next step for one engine. The authority must be valid
// at the time of the call, and the action must end before the next call.
func Next(in Input, sess *Session) Action {
	sess.bindToken(in.Authority.FencingToken)
	if in.Now.Before(sess.retryAt) {
		return waitAction("after a failure")
	}
	if in.EnforcesFencing && !sess.tokenRaised {
		return raiseAction(in)
	}
	open := in.Engine.Open()
	if open == nil {
		return nextIdle(in, sess)
	}
	elapsed := sess.timeOnChange(open.ID, in.Now)
	switch open.Phase {
	case PhaseDraining:
		return nextDraining(in, *open, elapsed)
	case PhaseDrained:
		return nextDrained(in, sess, *open, elapsed)
	default:
		return nextOrdered(in, sess, *open, elapsed)
	}
}

func waitAction(reason string) Action { return Action{Kind: ActionWait, Reason: reason} }

func readAction(reason string) Action { return Action{Kind: ActionRead, Reason: reason} }

func raiseAction(in Input) Action {
	id := fmt.Sprintf("fence-%s-%d", in.Engine.Name, in.Authority.FencingToken)
	o := upstream.Order{ID: id, Kind: upstream.OrderRaiseToken, FencingToken: in.Authority.FencingToken}
	return Action{Kind: ActionRaiseToken, Order: o, Reason: "new leader"}
}

// nextIdle starts a requested change, or records the engine's settings if they
// differ from the recorded ones.
func nextIdle(in Input, sess *Session) Action {
	if !sess.hasFreshState(in.Now, in.Limits.ReadInterval) {
		return readAction("state is outdated")
	}
	observed := SettingsOf(sess.state)
	if sess.state.Busy {
		return waitAction("engine is busy")
	}
	if in.Requested != nil && !requestedChange(*in.Requested).SatisfiedBy(observed) {
		return planChange(in, observed)
	}
	if observed != in.Engine.Observed {
		return appendRecord(in, nil, observed, "settings read back")
	}
	return waitAction("nothing to do")
}

func requestedChange(r ChangeRequest) Change { return Change{Kind: r.Kind, Target: r.Target} }

func planChange(in Input, observed Settings) Action {
	ch := Change{
		ID: in.Requested.ID, Engine: in.Engine.Name, Kind: in.Requested.Kind, Target: in.Requested.Target,
		Phase: PhaseDraining, Reason: in.Requested.Reason, Reservation: in.Requested.Reservation,
	}
	return appendRecord(in, &ch, observed, in.Requested.Reason)
}

// appendRecord returns the action that appends a step's record under the leader's
// authority.
func appendRecord(in Input, ch *Change, observed Settings, reason string) Action {
	r := Record{
		Engine: in.Engine.Name, After: in.Engine.LastPosition,
		Scope: in.Authority.Scope, FencingToken: in.Authority.FencingToken, Observed: observed,
	}
	if ch != nil {
		ch.Scope = in.Authority.Scope
		ch.FencingToken = in.Authority.FencingToken
		r.Change = ch
	}
	return Action{Kind: ActionAppend, Record: &r, Reason: reason}
}

// endChange ends a change in the given phase.
func endChange(in Input, open Change, p Phase, observed Settings, outcome string) Action {
	open.Phase = p
	open.Outcome = outcome
	return appendRecord(in, &open, observed, outcome)
}

func nextDraining(in Input, open Change, elapsed time.Duration) Action {
	if a, ok := undoIfDue(in, open, elapsed); ok {
		return a
	}
	if !in.Drained {
		return waitAction(in.WaitReason)
	}
	open.Phase = PhaseDrained
	return appendRecord(in, &open, in.Engine.Observed, "every listed instance has nothing in flight there")
}

// undoIfDue undoes a change that was cancelled or whose drain timed out. It must
// only be used before an order of the change has been sent.
func undoIfDue(in Input, open Change, elapsed time.Duration) (Action, bool) {
	if in.CancelReason != "" {
		return endChange(in, open, PhaseUndone, in.Engine.Observed, in.CancelReason), true
	}
	if !in.Drained && elapsed > in.Limits.DrainTimeout {
		return endChange(in, open, PhaseUndone, in.Engine.Observed, "drain took too long: "+in.WaitReason), true
	}
	return Action{}, false
}

// nextDrained records the intent to send the order once the engine itself reports
// that it runs no requests. The reports of entry instances don't suffice: an
// instance that isn't listed yet could have requests there.
func nextDrained(in Input, sess *Session, open Change, elapsed time.Duration) Action {
	if a, ok := undoIfDue(in, open, elapsed); ok {
		return a
	}
	if elapsed > in.Limits.maxChangeTime() {
		return endChange(in, open, PhaseUndone, in.Engine.Observed, "engine did not become free")
	}
	if !sess.hasFreshState(in.Now, in.Limits.MaxStateAge) {
		return readAction("before the order")
	}
	observed := SettingsOf(sess.state)
	if open.SatisfiedBy(observed) && !sess.state.Busy {
		return endChange(in, open, PhaseConfirmed, observed, "engine already shows the change")
	}
	if reason, ok := readyForOrder(in, sess); !ok {
		return waitOrRead(in, sess, reason)
	}
	return recordAttempt(in, sess, open)
}

// readyForOrder reports whether the order may be sent now, and if not why.
func readyForOrder(in Input, sess *Session) (string, bool) {
	switch {
	case sess.state.Busy:
		return "engine is busy", false
	case sess.state.Running > 0:
		return "engine still runs requests", false
	case !in.Drained:
		return in.WaitReason, false
	}
	return "", true
}

// waitOrRead waits, or reads the engine's state again if ReadInterval has passed.
func waitOrRead(in Input, sess *Session, reason string) Action {
	if sess.hasFreshState(in.Now, in.Limits.ReadInterval) {
		return waitAction(reason)
	}
	return readAction(reason)
}

func recordAttempt(in Input, sess *Session, open Change) Action {
	open.Phase = PhaseOrdered
	open.Attempt++
	open.Incarnation = sess.state.Incarnation
	return appendRecord(in, &open, SettingsOf(sess.state), fmt.Sprintf("attempt %d", open.Attempt))
}

// nextOrdered sends the order whose intent is recorded, or determines the outcome
// of an order that may have been sent.
func nextOrdered(in Input, sess *Session, open Change, elapsed time.Duration) Action {
	ownToken := open.FencingToken == in.Authority.FencingToken
	unsent := ownToken && !mayHaveBeenAccepted(sess, open)
	if unsent && elapsed > in.Limits.maxChangeTime() {
		return endChange(in, open, PhaseUndone, in.Engine.Observed, "order could not be sent in time")
	}
	if !sess.hasFreshState(in.Now, in.Limits.ReadInterval) {
		return readAction("to see what became of the order")
	}
	if sess.state.Busy {
		return waitAction("engine carries an order out")
	}
	if sess.state.LastOrder == open.ID {
		return finish(in, sess, open)
	}
	if !unsent {
		return resolveMissing(in, sess, open, ownToken, elapsed)
	}
	if reason, ok := readyForOrder(in, sess); !ok {
		return waitAction(reason)
	}
	return Action{Kind: ActionSend, Order: open.Order(), Change: open, Reason: open.Reason}
}

// mayHaveBeenAccepted reports whether this process sent the attempt's order and
// the order may take effect.
func mayHaveBeenAccepted(sess *Session, open Change) bool {
	o := sess.attemptOutcome(open)
	return o != OutcomeNotSent && o != OutcomeRejected
}

// finish ends a change whose order is the last one that the engine accepted.
func finish(in Input, sess *Session, open Change) Action {
	observed := SettingsOf(sess.state)
	if open.SatisfiedBy(observed) {
		return endChange(in, open, PhaseConfirmed, observed, "read back")
	}
	return endChange(in, open, PhaseUndone, observed, "engine took the order but doesn't show the change")
}

// resolveMissing handles an order that the engine's state doesn't show. It ends or
// repeats the change only once the order can no longer take effect.
func resolveMissing(in Input, sess *Session, open Change, ownToken bool, elapsed time.Duration) Action {
	observed := SettingsOf(sess.state)
	switch {
	case !canNoLongerApply(in, sess, ownToken):
		return awaitOutcome(in, sess, ownToken)
	case open.SatisfiedBy(observed):
		return endChange(in, open, PhaseConfirmed, observed, "engine shows the change")
	case ownToken && sess.sendOutcome == OutcomeAccepted:
		return endChange(in, open, PhaseUndone, observed, "engine gave the change up, or restarted during it")
	case elapsed > in.Limits.maxChangeTime():
		return endChange(in, open, PhaseUndone, observed, "order was not taken in time")
	}
	if reason, ok := readyForOrder(in, sess); !ok {
		return waitAction(reason)
	}
	return recordAttempt(in, sess, open)
}

// canNoLongerApply reports whether an order that the engine's state doesn't show
// can no longer take effect. Unless the engine accepted it from this leader, a copy
// may still be in a buffer or in a paused sender.
func canNoLongerApply(in Input, sess *Session, ownToken bool) bool {
	if ownToken && sess.sendOutcome == OutcomeAccepted {
		// The only copy has arrived, and the engine has since abandoned the order
		// or restarted.
		return true
	}
	if in.EnforcesFencing {
		// The engine rejects a copy once its token was raised above the order's.
		return !ownToken
	}
	// The sender has died or is this process, whose connection is closed. The engine
	// has answered reads for SettleTime, in which it processes what it had received.
	return !sess.responsiveSince.IsZero() && sess.readAt.Sub(sess.responsiveSince) >= in.Limits.SettleTime
}

// awaitOutcome waits for the outcome of an order, or forces it with a higher
// fencing token, which makes a copy still in flight outdated.
func awaitOutcome(in Input, sess *Session, ownToken bool) Action {
	if !in.EnforcesFencing || !ownToken || in.Now.Sub(sess.sentAt) < in.Limits.RetryDelay {
		return waitAction("the order's fate is open")
	}
	return Action{Kind: ActionRenumber, Reason: "outdate an order without reply"}
}
