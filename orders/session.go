package orders

import (
	"errors"
	"time"

	"tamarackchute/upstream"
)

// Outcome is what a sender knows about an order that it sent or meant to send.
type Outcome uint8

// The outcomes of a send.
const (
	// OutcomeNotSent: this process has not sent the order.
	OutcomeNotSent Outcome = iota
	// OutcomeAccepted: the engine replied that it accepted the order.
	OutcomeAccepted
	// OutcomeRejected: the engine did not accept the order and never will.
	OutcomeRejected
	// OutcomeFenced: the engine has seen a higher fencing token.
	OutcomeFenced
	// OutcomeUnknown: no usable reply; the engine may have accepted the order or
	// may still accept it.
	OutcomeUnknown
)

// classifySendError returns the outcome that the error of a send stands for.
func classifySendError(err error) Outcome {
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

// Session is what a leader has learned from its own calls to one engine under one
// fencing token. The zero value is an empty session.
type Session struct {
	token       uint64
	tokenRaised bool
	// state is the last state read; readAt is when that read was started, zero
	// if no read has succeeded since the last send.
	state  upstream.EngineState
	readAt time.Time
	// responsiveSince is when the engine answered the first read of the current
	// unbroken run of prompt answers. A send resets it.
	responsiveSince time.Time
	// sentID, sentAttempt, sentAt and sendOutcome describe the last send.
	sentID      string
	sentAttempt int
	sentAt      time.Time
	sendOutcome Outcome
	// changeID and changeFirstSeen record when this leader first handled the open
	// change.
	changeID        string
	changeFirstSeen time.Time
	// retryAt delays the next action after a failure.
	retryAt time.Time
}

// bindToken clears the session if it belongs to another fencing token.
func (sess *Session) bindToken(token uint64) {
	if sess.token != token {
		*sess = Session{token: token}
	}
}

// State returns the engine's state as last read and when that read was started;
// the time is zero if no read has succeeded since the last send.
func (sess *Session) State() (upstream.EngineState, time.Time) { return sess.state, sess.readAt }

// RaiseDone records the reply to an order that raises the fencing token.
func (sess *Session) RaiseDone(err error, now time.Time, retryDelay time.Duration) {
	sess.tokenRaised = err == nil
	sess.backOff(err, now, retryDelay)
}

// minSlowRead is the duration below which a read never counts as slow.
const minSlowRead = 50 * time.Millisecond

// ReadDone records the answer to a read of the engine's state. A failed or slow
// read resets responsiveSince, since the engine may have been paused meanwhile.
func (sess *Session) ReadDone(s upstream.EngineState, err error, startedAt, now time.Time, limits Limits) {
	sess.backOff(err, now, limits.RetryDelay)
	if err != nil || now.Sub(startedAt) > max(limits.SettleTime/4, minSlowRead) {
		sess.responsiveSince = time.Time{}
	}
	if err != nil {
		return
	}
	sess.state = s
	sess.readAt = startedAt
	if sess.responsiveSince.IsZero() {
		sess.responsiveSince = now
	}
	// An engine that restarted may have lost its fencing token.
	if s.FencingToken < sess.token {
		sess.tokenRaised = false
	}
}

// SendDone records the reply to an order.
func (sess *Session) SendDone(ch Change, err error, startedAt, now time.Time, retryDelay time.Duration) {
	sess.sentID = ch.ID
	sess.sentAttempt = ch.Attempt
	sess.sentAt = startedAt
	sess.sendOutcome = classifySendError(err)
	sess.responsiveSince = time.Time{}
	sess.readAt = time.Time{}
	sess.backOff(err, now, retryDelay)
}

// AppendDone records whether a journal record was accepted.
func (sess *Session) AppendDone(accepted bool, now time.Time, retryDelay time.Duration) {
	if !accepted {
		sess.retryAt = now.Add(retryDelay)
	}
}

// backOff delays the next action after an error, and ends the delay without one.
func (sess *Session) backOff(err error, now time.Time, retryDelay time.Duration) {
	sess.retryAt = time.Time{}
	if err != nil {
		sess.retryAt = now.Add(retryDelay)
	}
}

// attemptOutcome returns the outcome of a change's latest attempt.
func (sess *Session) attemptOutcome(ch Change) Outcome {
	if sess.sentID != ch.ID || sess.sentAttempt != ch.Attempt {
		return OutcomeNotSent
	}
	return sess.sendOutcome
}

// hasFreshState reports whether the last state read is at most maxAge old.
func (sess *Session) hasFreshState(now time.Time, maxAge time.Duration) bool {
	return !sess.readAt.IsZero() && now.Sub(sess.readAt) <= maxAge
}

// timeOnChange returns the time since this leader first handled a change.
func (sess *Session) timeOnChange(id string, now time.Time) time.Duration {
	if sess.changeID != id {
		sess.changeID = id
		sess.changeFirstSeen = now
	}
	return now.Sub(sess.changeFirstSeen)
}
