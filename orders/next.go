package orders

import (
	"fmt"
	"time"

	"tamarackchute/lease"
	"tamarackchute/upstream"
)

// Want is a change that the role policy asks for.
type Want struct {
	// ID becomes the change's, if the change is begun.
	ID     string
	Kind   upstream.OrderKind
	Target Settings
	Reason string
	// Reserve is set if the engine will read the weight store.
	Reserve *Reservation
}

// Limits bounds the waiting of a leader.
type Limits struct {
	// Drain is the longest that a drain may take before it is undone.
	Drain time.Duration
	// Order is the longest that a leader tries, beyond that, to get an order
	// taken.
	Order time.Duration
	// Settle is the time within which an engine that doesn't check fencing
	// numbers, once it answers, has worked off whatever was sent to it before.
	Settle time.Duration
	// Read is the time between two reads of a state, Fresh the age up to which
	// a state is good for a decision.
	Read  time.Duration
	Fresh time.Duration
	// Retry is waited after a failure, and before an order without reply is
	// taken for lost.
	Retry time.Duration
}

// whole is the longest that a change may be in one leader's hand before it is
// given up, unless the engine is carrying it out.
func (l Limits) whole() time.Duration { return l.Drain + l.Order }

// Situation is all that a decision about one engine rests on, beside Contact.
type Situation struct {
	Now       time.Time
	Authority lease.Authority
	// Engine is the fold's state.
	Engine Engine
	// Checked says that the engine refuses outdated fencing numbers.
	Checked bool
	// Drained says that every listed entry instance has applied the open
	// change's drain and reported nothing in flight; else Waiting says who.
	Drained bool
	Waiting string
	// Want is the change asked for, Cancel the reason to give up the open one
	// if it can still be given up; each may be empty.
	Want   *Want
	Cancel string
	Limits Limits
}

// ActionKind says what a leader does next about an engine.
type ActionKind uint8

// The kinds of action.
const (
	ActionWait ActionKind = iota
	// ActionRaise sends Order, which only raises the fencing number.
	ActionRaise
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
func Next(s Situation, c *Contact) Action {
	c.under(s.Authority.FencingToken)
	if s.Now.Before(c.retryAt) {
		return wait("after a failure")
	}
	if s.Checked && !c.raised {
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

func raise(s Situation) Action {
	id := fmt.Sprintf("fence-%s-%d", s.Engine.Name, s.Authority.FencingToken)
	o := upstream.Order{ID: id, Kind: upstream.OrderFence, FencingToken: s.Authority.FencingToken}
	return Action{Kind: ActionRaise, Order: o, Reason: "new leader"}
}

// idle begins a change if one is wanted, and keeps the believed settings up.
func idle(s Situation, c *Contact) Action {
	if !c.fresh(s.Now, s.Limits.Read) {
		return read("state is outdated")
	}
	seen := SettingsOf(c.state)
	if c.state.Busy {
		return wait("engine is busy")
	}
	if s.Want != nil && !wanted(*s.Want).Reached(seen) {
		return plan(s, seen)
	}
	if seen != s.Engine.Believed {
		return appendRecord(s, nil, seen, "settings read back")
	}
	return wait("nothing to do")
}

func wanted(w Want) Change { return Change{Kind: w.Kind, Target: w.Target} }

func plan(s Situation, seen Settings) Action {
	ch := Change{
		ID: s.Want.ID, Engine: s.Engine.Name, Kind: s.Want.Kind, Target: s.Want.Target,
		Phase: PhaseDraining, Reason: s.Want.Reason, Reserve: s.Want.Reserve,
	}
	return appendRecord(s, &ch, seen, s.Want.Reason)
}

// appendRecord makes the record of a step under the leader's authority.
func appendRecord(s Situation, ch *Change, seen Settings, reason string) Action {
	r := Record{
		Engine: s.Engine.Name, After: s.Engine.Last,
		Scope: s.Authority.Scope, Fence: s.Authority.FencingToken, Believed: seen,
	}
	if ch != nil {
		ch.Scope = s.Authority.Scope
		ch.Fence = s.Authority.FencingToken
		r.Change = ch
	}
	return Action{Kind: ActionAppend, Record: &r, Reason: reason}
}

// end closes a change.
func end(s Situation, open Change, p Phase, seen Settings, outcome string) Action {
	open.Phase = p
	open.Outcome = outcome
	return appendRecord(s, &open, seen, outcome)
}

func drain(s Situation, open Change, inHand time.Duration) Action {
	if a, ok := giveUp(s, open, inHand); ok {
		return a
	}
	if !s.Drained {
		return wait(s.Waiting)
	}
	open.Phase = PhaseDrained
	return appendRecord(s, &open, s.Engine.Believed, "every listed instance has nothing in flight there")
}

// giveUp undoes a change of which no order has been sent.
func giveUp(s Situation, open Change, inHand time.Duration) (Action, bool) {
	if s.Cancel != "" {
		return end(s, open, PhaseUndone, s.Engine.Believed, s.Cancel), true
	}
	if !s.Drained && inHand > s.Limits.Drain {
		return end(s, open, PhaseUndone, s.Engine.Believed, "drain took too long: "+s.Waiting), true
	}
	return Action{}, false
}

// order records the intent to order, once the engine itself says that nothing
// runs on it. An instance not in the list yet could still have work there.
func order(s Situation, c *Contact, open Change, inHand time.Duration) Action {
	if a, ok := giveUp(s, open, inHand); ok {
		return a
	}
	if inHand > s.Limits.whole() {
		return end(s, open, PhaseUndone, s.Engine.Believed, "engine did not become free")
	}
	if !c.fresh(s.Now, s.Limits.Fresh) {
		return read("before the order")
	}
	seen := SettingsOf(c.state)
	if open.Reached(seen) && !c.state.Busy {
		return end(s, open, PhaseConfirmed, seen, "engine already shows the change")
	}
	if reason, ok := free(s, c); !ok {
		return pace(s, c, reason)
	}
	return intend(s, c, open)
}

// free reports whether the engine may get an order now.
func free(s Situation, c *Contact) (string, bool) {
	switch {
	case c.state.Busy:
		return "engine is busy", false
	case c.state.Running > 0:
		return "engine still runs requests", false
	case !s.Drained:
		return s.Waiting, false
	}
	return "", true
}

// pace waits, and reads the state again when it is time.
func pace(s Situation, c *Contact, reason string) Action {
	if c.fresh(s.Now, s.Limits.Read) {
		return wait(reason)
	}
	return read(reason)
}

func intend(s Situation, c *Contact, open Change) Action {
	open.Phase = PhaseOrdered
	open.Attempt++
	open.Incarnation = c.state.Incarnation
	return appendRecord(s, &open, SettingsOf(c.state), fmt.Sprintf("attempt %d", open.Attempt))
}

// settle sends the order whose intent is recorded, or finds out what became
// of it.
func settle(s Situation, c *Contact, open Change, inHand time.Duration) Action {
	own := open.Fence == s.Authority.FencingToken
	unsent := own && !mayBeTaken(c, open)
	if unsent && inHand > s.Limits.whole() {
		return end(s, open, PhaseUndone, s.Engine.Believed, "order could not be sent in time")
	}
	if !c.fresh(s.Now, s.Limits.Read) {
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
func mayBeTaken(c *Contact, open Change) bool {
	o := c.outcome(open)
	return o != OutcomeNone && o != OutcomeNotTaken
}

// finish ends a change whose order was the engine's last one.
func finish(s Situation, c *Contact, open Change) Action {
	seen := SettingsOf(c.state)
	if open.Reached(seen) {
		return end(s, open, PhaseConfirmed, seen, "read back")
	}
	return end(s, open, PhaseUndone, seen, "engine took the order but doesn't show the change")
}

// lost deals with an order that the engine doesn't show. It counts as lost
// only once it can't take effect any more.
func lost(s Situation, c *Contact, open Change, own bool, inHand time.Duration) Action {
	seen := SettingsOf(c.state)
	switch {
	case !closed(s, c, own):
		return pursue(s, c, own)
	case open.Reached(seen):
		return end(s, open, PhaseConfirmed, seen, "engine shows the change")
	case own && c.sent == OutcomeTaken:
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
func closed(s Situation, c *Contact, own bool) bool {
	if own && c.sent == OutcomeTaken {
		return true
	}
	if s.Checked {
		return !own
	}
	return !c.answeringSince.IsZero() && c.readAt.Sub(c.answeringSince) >= s.Limits.Settle
}

// pursue waits for an order's fate, or forces it: a higher fencing number
// outdates a copy still under way.
func pursue(s Situation, c *Contact, own bool) Action {
	if !s.Checked || !own || s.Now.Sub(c.sentAt) < s.Limits.Retry {
		return wait("the order's fate is open")
	}
	return Action{Kind: ActionRenumber, Reason: "outdate an order without reply"}
}
