package claim

import (
	"time"

	"tamarackchute/journal"
)

// callState is the progress of a call.
type callState uint8

const (
	stateClaiming callState = iota
	stateAccepted
	stateDispatching
	stateWaiting
)

// call is one request for a protected call.
type call struct {
	id     CallID
	key    Key
	digest uint64
	state  callState
	// attempt is the pending or accepted claim, claimSent when it was handed over
	// for the append, claims the number of claims so far.
	attempt   AttemptID
	claimSent time.Time
	claims    int
}

// Step is what the runtime does next for a call: ClaimStep, DispatchStep,
// WaitStep or ResultStep.
type Step interface{ isStep() }

// ClaimStep requests an append, bounded by ClaimTimeout, and then a call of
// Claimed.
type ClaimStep struct{ Entry journal.Entry }

// DispatchStep requests a call of Confirm, then the dispatch, then a call of
// Dispatched.
type DispatchStep struct{}

// WaitStep requests a call of Resume once Changed returns the call, or at Until.
type WaitStep struct{ Until time.Time }

// ResultStep ends the call.
type ResultStep struct{ Result Result }

func (ClaimStep) isStep()    {}
func (DispatchStep) isStep() {}
func (WaitStep) isStep()     {}
func (ResultStep) isStep()   {}

// AppendResult is the result of a claim's append.
type AppendResult uint8

// The results of an append.
const (
	// Appended: the record is in the log and was folded.
	Appended AppendResult = iota
	// NotAppended: the record is not in the log and never will be.
	NotAppended
	// AppendUnclear: the record may be in the log, or may still arrive.
	AppendUnclear
)

// Start begins a call.
func (c *Core) Start(env Env, key Key, digest uint64) (CallID, Step) {
	c.lastID++
	k := &call{id: c.lastID, key: key, digest: digest}
	c.calls[k.id] = k
	return k.id, c.decide(env, k)
}

// Resume continues a waiting call. If timeUp is set, it ends the call.
func (c *Core) Resume(env Env, id CallID, timeUp bool) Step {
	k := c.calls[id]
	step := c.decide(env, k)
	if _, waits := step.(WaitStep); waits && timeUp {
		if _, blocked := c.blocked[c.ledger.holders[k.key.ID].attempt]; blocked {
			return c.notRun(k, ReasonClaimUnclear, ScopeRequest)
		}
		return c.finish(k, MayHaveRun{ReasonRunning})
	}
	if _, claims := step.(ClaimStep); claims && timeUp {
		return c.notRun(k, ReasonCallerGone, ScopeRequest)
	}
	return step
}

// decide returns the next step by the known state of the key.
func (c *Core) decide(env Env, k *call) Step {
	v := c.view(k.key)
	_, blocked := c.blocked[v.holder.attempt]
	if v.phase != phaseFree && v.digest != k.digest && !blocked {
		return c.finish(k, KeyReused{})
	}
	switch v.phase {
	case phaseDone:
		return c.finish(k, replay(v))
	case phaseBrokenOff:
		return c.finish(k, MayHaveRun{ReasonBrokenOff})
	case phaseClaimed:
		return c.awaitHolder(env, k, v, blocked)
	default:
		return c.claim(env, k, v)
	}
}

// replay returns the recorded result of a key whose call ran for another request.
func replay(v keyView) Done {
	if v.outcome == nil {
		return Done{Response: Response{Status: int(v.status)}, Replayed: true}
	}
	return Done{Response: v.outcome.response(), Replayed: true, ResponseComplete: v.outcome.Complete}
}

// awaitHolder waits for the outcome of the key's accepted claim. A claim that
// this process has given up can't run; then it waits for the withdrawal.
func (c *Core) awaitHolder(env Env, k *call, v keyView, blocked bool) Step {
	c.withdraw(k.key.ID, v.holder.attempt)
	if blocked && !env.LogUp {
		return c.notRun(k, ReasonLogDown, ScopeRequest)
	}
	left := c.cfg.staleAfter() - c.ledger.age(v.holder, env.Now)
	if blocked {
		left = c.cfg.ClaimTimeout
	}
	if left <= 0 {
		return c.finish(k, MayHaveRun{ReasonNoOutcome})
	}
	k.state = stateWaiting
	return WaitStep{Until: env.Now.Add(left)}
}

// claim requests the right to run a free key's call.
func (c *Core) claim(env Env, k *call, v keyView) Step {
	switch {
	case k.key.Timed() && c.ledger.tooOld(k.key.CreatedAt):
		return c.finish(k, KeyTooOld{})
	case k.claims > 0 && k.key.CreatedAt.After(c.ledger.now.Add(c.cfg.KeySkew)):
		return c.notRun(k, ReasonKeyFromFuture, ScopeRequest)
	case !v.exact:
		return c.notRun(k, ReasonHistoryUnknown, ScopeRequest)
	case !env.LogUp:
		return c.notRun(k, ReasonLogDown, ScopeRequest)
	case c.ledger.Len() >= c.cfg.MaxKeys || len(c.blocked) >= maxBlocked:
		return c.notRun(k, ReasonTooManyKeys, ScopeRequest)
	case k.claims >= maxClaims:
		return c.notRun(k, ReasonContended, ScopeRequest)
	}
	k.claims++
	k.state = stateClaiming
	k.attempt = c.NewAttempt()
	// Taken before the append, so that a pause in between makes the claim look
	// older, never younger.
	k.claimSent = env.Now
	m := claimRequest{Key: k.key.ID, Attempt: k.attempt, Digest: k.digest}
	if k.key.Timed() {
		m.CreatedAtMillis = k.key.CreatedAt.UnixMilli()
	}
	return ClaimStep{Entry: m.entry()}
}

// Claimed continues a call after its claim's append has ended.
func (c *Core) Claimed(env Env, id CallID, r AppendResult) Step {
	k := c.calls[id]
	v := c.view(k.key)
	accepted := v.phase == phaseClaimed && v.holder.attempt == k.attempt
	switch {
	case accepted && v.exact:
		// Also when the reply was lost: the claim was read from the log.
		k.state = stateAccepted
		return DispatchStep{}
	case r == Appended && v.exact:
		// Rejected: another attempt has the key, or its time is out of range.
		return c.decide(env, k)
	case r != NotAppended:
		// The reply was lost, or this process's history is incomplete. Other
		// processes may accept the claim now or later, so it is never dispatched.
		c.block(env, k.key.ID, k.attempt)
	}
	if v.phase != phaseFree && !accepted {
		return c.decide(env, k)
	}
	if r == NotAppended {
		return c.notRun(k, ReasonLogDown, ScopeRequest)
	}
	return c.notRun(k, ReasonClaimUnclear, ScopeRequest)
}

// Confirm is the last check before the dispatch. It returns nil if the call may
// be dispatched, else its result. The claim is exclusive, so a pause before or
// after this check lets no other attempt run; the bound on the claim's age keeps
// it far below the time after which the claim is forgotten.
func (c *Core) Confirm(env Env, id CallID, timeUp bool) Step {
	k := c.calls[id]
	reason := ReasonPaused
	if timeUp {
		reason = ReasonCallerGone
	}
	if timeUp || env.Now.Sub(k.claimSent) > c.cfg.MaxClaimAge {
		return c.withdrawCall(env, k, reason)
	}
	k.state = stateDispatching
	return nil
}

// Dispatched ends a call after its dispatch has returned.
func (c *Core) Dispatched(env Env, id CallID, r Response, result DispatchResult) Step {
	k := c.calls[id]
	switch result {
	case DispatchNotRun:
		return c.withdrawCall(env, k, ReasonUpstream)
	case DispatchCompleted:
		m := newOutcome(k.key.ID, k.attempt, k.digest, r, c.cfg.MaxRecordedBytes)
		c.record(k, m.entry(), row{digest: k.digest, status: m.Status, phase: phaseDone}, &m)
		return c.finish(k, Done{Response: r, ResponseComplete: true})
	default:
		m := brokenOff{Key: k.key.ID, Attempt: k.attempt, Digest: k.digest}
		c.record(k, m.entry(), row{digest: k.digest, phase: phaseBrokenOff}, nil)
		return c.finish(k, MayHaveRun{ReasonBrokenOff})
	}
}

// withdrawCall ends a call whose claim was accepted and that did not run. After
// a pause of about KeyTTL the claim may be forgotten and another attempt may have
// run the key; then the result says nothing about other requests.
func (c *Core) withdrawCall(env Env, k *call, reason NotRunReason) Step {
	c.block(env, k.key.ID, k.attempt)
	if env.Now.Sub(k.claimSent) < c.cfg.KeyTTL/2 {
		return c.notRun(k, reason, ScopeKey)
	}
	v := c.view(k.key)
	if v.phase != phaseFree && v.holder.attempt != k.attempt {
		return c.decide(env, k)
	}
	return c.notRun(k, reason, ScopeRequest)
}

// record stores a call's outcome locally and puts it into the outbox.
func (c *Core) record(k *call, e journal.Entry, r row, o *outcome) {
	c.local[k.key.ID] = &localOutcome{attempt: k.attempt, row: r, outcome: o}
	c.outbox = append(c.outbox, Message{Entry: e, key: k.key.ID, attempt: k.attempt})
	c.markChanged(k.key.ID)
}

// view returns the ledger's view of a key, overlaid with a local outcome that
// was not read back yet.
func (c *Core) view(key Key) keyView {
	v := c.ledger.view(key)
	if l, ok := c.local[key.ID]; ok && v.phase != phaseDone {
		v.row, v.outcome = l.row, l.outcome
	}
	return v
}

func (c *Core) notRun(k *call, reason NotRunReason, scope Scope) Step {
	return c.finish(k, NotRun{Reason: reason, Scope: scope, RetryAfter: c.cfg.RetryAfter})
}

func (c *Core) finish(k *call, r Result) Step {
	delete(c.calls, k.id)
	delete(c.changed, k.id)
	return ResultStep{Result: r}
}
