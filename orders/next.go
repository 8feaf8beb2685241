package orders

import (
	"fmt"
	"time"

	"tamarackchute/lease"
	"tamarackchute/upstream"
)

// Want is a change that the role policy asks for.
type ChangeRequest struct {
	// ID becomes the change's, if the change is begun.
	ID     string
	Kind   upstream.OrderKind
	Target Settings
	Reason string
	// Reserve is set if the engine will read the weight store.
	Reservation *Reservation
}

// Limits bounds the waiting of a leader.
type Limits struct {
	// Drain is the longest that a drain may take before it is undone.
	DrainTimeout time.Duration
	// Order is the longest that a leader tries, beyond that, to get an order
	// taken.
	OrderTimeout time.Duration
	// Settle is the time within which an engine that doesn't check fencing
	// numbers, once it answers, has worked off whatever was sent to it before.
	SettleTime time.Duration
	// Read is the time between two reads of a state, Fresh the age up to which
	// a state is good for a decision.
	ReadInterval time.Duration
	MaxStateAge  time.Duration
	// Retry is waited after a failure, and before an order without reply is
	// taken for lost.
	RetryDelay time.Duration
}

// whole is the longest that a change may be in one leader's hand before it is
// given up, unless the engine is carrying it out.
func (l Limits) whole() time.Duration { return l.DrainTimeout + l.OrderTimeout }

// Situation is all that a decision about one engine rests on, beside Contact.
type Input struct {
	Now       time.Time
	Authority lease.Authority
	// Engine is the fold's state.
	Engine Engine
	// Checked says that the engine refuses outdated fencing numbers.
	EnforcesFencing bool
	// Drained says that every listed entry instance has applied the open
	// change's drain and reported nothing in flight; else Waiting says who.
	Drained    bool
	WaitReason string
	// Want is the change asked for, Cancel the reason to give up the open one
	// if it can still be given up; each may be empty.
	Requested    *ChangeRequest
	CancelReason string
	Limits       Limits
}

// ActionKind says what a leader does next about an engine.
type ActionKind uint8

// The kinds of action.
const (
	ActionWait ActionKind = iota
	// ActionRaise sends Order, which only raises the fencing number.
	ActionRaiseToken
	// ActionRead reads the engine's state.
	ActionRead
	// ActionAppend appends Record.
	ActionAppend
	// ActionSend sends Order.
	ActionSend
	// ActionRenumber asks the lease for a higher fencing number.
	ActionRenumber
)

// Action is one step of a leader.
type Action struct {
	Kind   ActionKind
	Record *Record
	Order  upstream.Order
	// Change is what Order belongs to.
	Change Change
	// Reason is for the audit trail and the status page.
	Reason string
}

// Next decides the next step about one engine. It must only be called with an
// authority that is valid now, and its action be finished before the next call.
func Next(s Input, c *Session) Action {
	c.under(s.Authority.FencingToken)
	if s.Now.Before(c.retryAt) {
		return wait("after a failure")
	}
	if s.EnforcesFencing && !c.raised {
		return raise(s)
	}
	open := s.Engine.Open()
	if open == nil {
		return idle(s, c)
	}
	inHand := c.inHand(open.ID, s.Now)
	switch open.Phase {
	case PhaseDraining:
		return drain(s, *open, inHand)
	case PhaseDrained:
		return order(s, c, *open, inHand)
	default:
		return settle(s, c, *open, inHand)
	}
}

func wait(reason string) Action { return Action{Kind: ActionWait, Reason: reason} }

func read(reason string) Action { return Action{Kind: ActionRead, Reason: reason} }

func raise(s Input) Action {
	id := fmt.Sprintf("fence-%s-%d", s.Engine.Name, s.Authority.FencingToken)
	o := upstream.Order{ID: id, Kind: upstream.OrderFence, FencingToken: s.Authority.FencingToken}
	return Action{Kind: ActionRaiseToken, Order: o, Reason: "new leader"}
}

// idle begins a change if one is wanted, and keeps the believed settings up.
func idle(s Input, c *Session) Action {
	if !c.fresh(s.Now, s.Limits.ReadInterval) {
		return read("state is outdated")
	}
	seen := SettingsOf(c.state)
	if c.state.Busy {
		return wait("engine is busy")
	}
	if s.Requested != nil && !wanted(*s.Requested).SatisfiedBy(seen) {
		return plan(s, seen)
	}
	if seen != s.Engine.Observed {
		return appendRecord(s, nil, seen, "settings read back")
	}
	return wait("nothing to do")
}

func wanted(w ChangeRequest) Change { return Change{Kind: w.Kind, Target: w.Target} }

func plan(s Input, seen Settings) Action {
	ch := Change{
		ID: s.Requested.ID, Engine: s.Engine.Name, Kind: s.Requested.Kind, Target: s.Requested.Target,
		Phase: PhaseDraining, Reason: s.Requested.Reason, Reservation: s.Requested.Reservation,
	}
	return appendRecord(s, &ch, seen, s.Requested.Reason)
}

// appendRecord makes the record of a step under the leader's authority.
func appendRecord(s Input, ch *Change, seen Settings, reason string) Action {
	r := Record{
		Engine: s.Engine.Name, After: s.Engine.LastPosition,
		Scope: s.Authority.Scope, FencingToken: s.Authority.FencingToken, Observed: seen,
	}
	if ch != nil {
		ch.Scope = s.Authority.Scope
		ch.FencingToken = s.Authority.FencingToken
		r.Change = ch
	}
	return Action{Kind: ActionAppend, Record: &r, Reason: reason}
}

// end closes a change.
func end(s Input, open Change, p Phase, seen Settings, outcome string) Action {
	open.Phase = p
	open.Outcome = outcome
	return appendRecord(s, &open, seen, outcome)
}

func drain(s Input, open Change, inHand time.Duration) Action {
	if a, ok := giveUp(s, open, inHand); ok {
		return a
	}
	if !s.Drained {
		return wait(s.WaitReason)
	}
	open.Phase = PhaseDrained
	return appendRecord(s, &open, s.Engine.Observed, "every listed instance has nothing in flight there")
}

// giveUp undoes a change of which no order has been sent.
func giveUp(s Input, open Change, inHand time.Duration) (Action, bool) {
	if s.CancelReason != "" {
		return end(s, open, PhaseUndone, s.Engine.Observed, s.CancelReason), true
	}
	if !s.Drained && inHand > s.Limits.DrainTimeout {
		return end(s, open, PhaseUndone, s.Engine.Observed, "drain took too long: "+s.WaitReason), true
	}
	return Action{}, false
}

// order records the intent to order, once the engine itself says that nothing
// runs on it. An instance not in the list yet could still have work there.
func order(s Input, c *Session, open Change, inHand time.Duration) Action {
	if a, ok := giveUp(s, open, inHand); ok {
		return a
	}
	if inHand > s.Limits.whole() {
		return end(s, open, PhaseUndone, s.Engine.Observed, "engine did not become free")
	}
	if !c.fresh(s.Now, s.Limits.MaxStateAge) {
		return read("before the order")
	}
	seen := SettingsOf(c.state)
	if open.SatisfiedBy(seen) && !c.state.Busy {
		return end(s, open, PhaseConfirmed, seen, "engine already shows the change")
	}
	if reason, ok := free(s, c); !ok {
		return pace(s, c, reason)
	}
	return intend(s, c, open)
}

// free reports whether the engine may get an order now.
func free(s Input, c *Session) (string, bool) {
	switch {
	case c.state.Busy:
		return "engine is busy", false
	case c.state.Running > 0:
		return "engine still runs requests", false
	case !s.Drained:
		return s.WaitReason, false
	}
	return "", true
}

// pace waits, and reads the state again when it is time.
func pace(s Input, c *Session, reason string) Action {
	if c.fresh(s.Now, s.Limits.ReadInterval) {
		return wait(reason)
	}
	return read(reason)
}

func intend(s Input, c *Session, open Change) Action {
	open.Phase = PhaseOrdered
	open.Attempt++
	open.Incarnation = c.state.Incarnation
	return appendRecord(s, &open, SettingsOf(c.state), fmt.Sprintf("attempt %d", open.Attempt))
}

// settle sends the order whose intent is recorded, or finds out what became
// of it.
func settle(s Input, c *Session, open Change, inHand time.Duration) Action {
	own := open.FencingToken == s.Authority.FencingToken
	unsent := own && !mayBeTaken(c, open)
	if unsent && inHand > s.Limits.whole() {
		return end(s, open, PhaseUndone, s.Engine.Observed, "order could not be sent in time")
	}
	if !c.fresh(s.Now, s.Limits.ReadInterval) {
		return read("to see what became of the order")
	}
	if c.state.Busy {
		return wait("engine carries an order out")
	}
	if c.state.LastOrder == open.ID {
		return finish(s, c, open)
	}
	if !unsent {
		return lost(s, c, open, own, inHand)
	}
	if reason, ok := free(s, c); !ok {
		return wait(reason)
	}
	return Action{Kind: ActionSend, Order: open.Order(), Change: open, Reason: open.Reason}
}

// mayBeTaken reports whether this attempt has gone out and may take effect.
func mayBeTaken(c *Session, open Change) bool {
	o := c.outcome(open)
	return o != OutcomeNotSent && o != OutcomeRejected
}

// finish ends a change whose order was the engine's last one.
func finish(s Input, c *Session, open Change) Action {
	seen := SettingsOf(c.state)
	if open.SatisfiedBy(seen) {
		return end(s, open, PhaseConfirmed, seen, "read back")
	}
	return end(s, open, PhaseUndone, seen, "engine took the order but doesn't show the change")
}

// lost deals with an order that the engine doesn't show. It counts as lost
// only once it can't take effect any more.
func lost(s Input, c *Session, open Change, own bool, inHand time.Duration) Action {
	seen := SettingsOf(c.state)
	switch {
	case !closed(s, c, own):
		return pursue(s, c, own)
	case open.SatisfiedBy(seen):
		return end(s, open, PhaseConfirmed, seen, "engine shows the change")
	case own && c.sent == OutcomeAccepted:
		return end(s, open, PhaseUndone, seen, "engine gave the change up, or restarted during it")
	case inHand > s.Limits.whole():
		return end(s, open, PhaseUndone, seen, "order was not taken in time")
	}
	if reason, ok := free(s, c); !ok {
		return wait(reason)
	}
	return intend(s, c, open)
}

// closed reports whether the order, which the engine doesn't show, can't take
// effect any more.
//
// After a reply the one copy that was sent has arrived, and the engine has
// given it up or restarted since. Without one, and for a predecessor's order, a
// copy may lie in a buffer or in a paused sender. An engine that checks fencing
// numbers refuses it once the number has been raised above the order's. For
// one that doesn't, the sender is dead or is this process, whose connection is
// closed, and the engine has answered reads for the settle time, in which it
// works off what it had received.
func closed(s Input, c *Session, own bool) bool {
	if own && c.sent == OutcomeAccepted {
		return true
	}
	if s.EnforcesFencing {
		return !own
	}
	return !c.answeringSince.IsZero() && c.readAt.Sub(c.answeringSince) >= s.Limits.SettleTime
}

// pursue waits for an order's fate, or forces it: a higher fencing number
// outdates a copy still under way.
func pursue(s Input, c *Session, own bool) Action {
	if !s.EnforcesFencing || !own || s.Now.Sub(c.sentAt) < s.Limits.RetryDelay {
		return wait("the order's fate is open")
	}
	return Action{Kind: ActionRenumber, Reason: "outdate an order without reply"}
}
