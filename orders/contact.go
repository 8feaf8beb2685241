package orders

import (
	"errors"
	"time"

	"tamarackchute/upstream"
)

// Outcome is what a sender knows of an order after the reply, or without one.
type Outcome uint8

// The outcomes of a send.
const (
	// OutcomeNone: this process has not sent it.
	OutcomeNotSent Outcome = iota
	// OutcomeTaken: the engine said that it took the order.
	OutcomeAccepted
	// OutcomeNotTaken: the engine didn't take it and won't.
	OutcomeRejected
	// OutcomeFenced: the engine has seen a higher fencing number.
	OutcomeFenced
	// OutcomeOpen: no usable reply; it may have been taken, or may still be.
	OutcomeUnknown
)

// outcomeOf sorts the error of a send.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeAccepted
	case errors.Is(err, upstream.ErrFenced):
		return OutcomeFenced
	case errors.Is(err, upstream.ErrBusy),
		errors.Is(err, upstream.ErrNotSent),
		errors.Is(err, upstream.ErrRefused):
		return OutcomeRejected
	default:
		return OutcomeUnknown
	}
}

// Contact is what a leader has learnt from its own dealings with one engine
// under one fencing number. The zero value has learnt nothing.
type Session struct {
	fence  uint64
	raised bool
	// state is the last state read; readAt is when that read was begun, zero
	// if none has been answered.
	state  upstream.EngineState
	readAt time.Time
	// answeringSince is when the first of the latest reads that the engine
	// answered without delay was answered, after the last send.
	answeringSince time.Time
	// sentID, sentAttempt and sent tell the last send.
	sentID      string
	sentAttempt int
	sentAt      time.Time
	sent        Outcome
	// changeID and changeSince tell since when this leader has had the open
	// change in hand.
	changeID    string
	changeSince time.Time
	// retryAt puts off the next action after a failure.
	retryAt time.Time
}

// under forgets everything that was learnt under another fencing number.
func (c *Session) under(fence uint64) {
	if c.fence != fence {
		*c = Session{fence: fence}
	}
}

// State returns the engine's state as last read, and when the read was begun;
// a zero time if none has been answered.
func (c *Session) State() (upstream.EngineState, time.Time) { return c.state, c.readAt }

// RaiseDone takes in the reply to an order that raises the fencing number.
func (c *Session) RaiseDone(err error, now time.Time, retry time.Duration) {
	c.raised = err == nil
	c.backOff(err, now, retry)
}

// minSlowRead is the shortest time of a read that counts as slow.
const minSlowRead = 50 * time.Millisecond

// ReadDone takes in the answer to a read of the engine's state that was begun
// at a time. A failed or slow read ends the time for which the engine has
// answered: the engine may have been paused meanwhile.
func (c *Session) ReadDone(s upstream.EngineState, err error, begun, now time.Time, l Limits) {
	c.backOff(err, now, l.RetryDelay)
	if err != nil || now.Sub(begun) > max(l.SettleTime/4, minSlowRead) {
		c.answeringSince = time.Time{}
	}
	if err != nil {
		return
	}
	c.state = s
	c.readAt = begun
	if c.answeringSince.IsZero() {
		c.answeringSince = now
	}
	// An engine that restarted may have forgotten the number that guards it.
	if s.FencingToken < c.fence {
		c.raised = false
	}
}

// SendDone takes in the reply to an order that was sent at a time.
func (c *Session) SendDone(ch Change, err error, begun, now time.Time, retry time.Duration) {
	c.sentID = ch.ID
	c.sentAttempt = ch.Attempt
	c.sentAt = begun
	c.sent = outcomeOf(err)
	c.answeringSince = time.Time{}
	c.readAt = time.Time{}
	c.backOff(err, now, retry)
}

// AppendDone takes in whether a record was accepted.
func (c *Session) AppendDone(accepted bool, now time.Time, retry time.Duration) {
	if !accepted {
		c.retryAt = now.Add(retry)
	}
}

func (c *Session) backOff(err error, now time.Time, retry time.Duration) {
	c.retryAt = time.Time{}
	if err != nil {
		c.retryAt = now.Add(retry)
	}
}

// outcome returns what is known of an attempt of a change.
func (c *Session) outcome(ch Change) Outcome {
	if c.sentID != ch.ID || c.sentAttempt != ch.Attempt {
		return OutcomeNotSent
	}
	return c.sent
}

// fresh reports whether the state read last was asked for recently.
func (c *Session) fresh(now time.Time, within time.Duration) bool {
	return !c.readAt.IsZero() && now.Sub(c.readAt) <= within
}

// inHand returns for how long this leader has had a change in hand.
func (c *Session) inHand(id string, now time.Time) time.Duration {
	if c.changeID != id {
		c.changeID = id
		c.changeSince = now
	}
	return now.Sub(c.changeSince)
}
