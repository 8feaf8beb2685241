package claims

import (
	"time"

	"tamarackchute/claim"
)

type stage int

const (
	stageClaiming    stage = iota
	stageConfirming        // the check before the dispatch is next
	stageDispatching       // the dispatch is next
	stageSent              // the request or its response is in transit
	stageWaiting
	stageEnded
)

// call is a caller's request being processed by a process.
type call struct {
	process   *process
	id        claim.CallID
	request   *callerRequest
	stage     stage
	started   time.Time
	waitUntil time.Time
	woken     bool
	// deadlinePassed is set when the caller's deadline has passed.
	deadlinePassed bool
	// pendingInCore is whether the core still tracks the call.
	pendingInCore bool
	reply         *reply
	// dispatchStart is when the dispatch's time limit started.
	dispatchStart time.Time
}

// begin starts the processing of a caller's request.
func (p *process) begin(req *callerRequest) {
	c := &call{process: p, request: req, started: p.world.now, pendingInCore: true}
	p.calls = append(p.calls, c)
	var step claim.Step
	c.id, step = p.core.Start(p.env(), req.key.key, req.digest)
	c.applyStep(step)
	p.collectOutput()
}

// applyStep performs a step requested by the core or schedules it.
func (c *call) applyStep(step claim.Step) {
	p, w := c.process, c.process.world
	switch s := step.(type) {
	case claim.ClaimStep:
		c.stage = stageClaiming
		pending := &pendingAppend{entry: s.Entry, call: c}
		w.claims[lastAttempt(w)] = claimOwner{writer: p.name, owner: p, key: c.request.key, digest: c.request.digest}
		if w.mutant == mutantDispatchBeforeClaim {
			pending.call = nil
			c.scheduleDispatch()
		}
		p.enqueue(pending)
	case claim.DispatchStep:
		c.stage = stageConfirming
	case claim.WaitStep:
		c.stage, c.waitUntil = stageWaiting, s.Until
	case claim.ResultStep:
		c.pendingInCore = false
		c.stage = stageEnded
		c.answer(s.Result)
		c.remove()
	}
}

// lastAttempt returns the most recently created attempt ID.
func lastAttempt(w *world) claim.AttemptID {
	w.attempts--
	return w.newAttempt()
}

// handleClaimResult passes the outcome of a claim's append to the core.
func (c *call) handleClaimResult(r claim.AppendResult) {
	p := c.process
	step := p.core.Claimed(p.env(), c.id, r)
	_, won := step.(claim.DispatchStep)
	if p.world.mutant == mutantSecondClaimRuns && r == claim.Appended && !won {
		_, ended := step.(claim.ResultStep)
		c.pendingInCore = !ended
		c.scheduleDispatch()
		return
	}
	c.applyStep(step)
	p.collectOutput()
}

// advance performs the call's next step if it is due.
func (c *call) advance() {
	switch c.stage {
	case stageConfirming:
		c.confirm()
	case stageDispatching:
		c.dispatch()
	case stageSent:
		c.handleReply()
	case stageWaiting:
		c.resume()
	}
}

func (c *call) confirm() {
	p, env := c.process, c.process.env()
	if p.world.mutant == mutantNoClockCheck {
		env.Now = c.started
	}
	if step := p.core.Confirm(env, c.id, c.deadlinePassed); step != nil {
		c.applyStep(step)
		p.collectOutput()
		return
	}
	c.scheduleDispatch()
}

// scheduleDispatch makes the dispatch the next step and starts its time limit.
func (c *call) scheduleDispatch() {
	c.stage = stageDispatching
	c.dispatchStart = c.process.world.now
}

// dispatch sends the request over the network, unless the connection fails or the
// dispatch's time limit passed during a pause.
func (c *call) dispatch() {
	w := c.process.world
	c.stage = stageSent
	late := w.now.Sub(c.dispatchStart) >= config.MaxDispatch && w.mutant != mutantNoClockCheck
	if late || (!w.faultsEnded && w.chance(5)) {
		c.reply = &reply{result: claim.DispatchNotRun}
		return
	}
	w.network = append(w.network, &dispatchedRequest{call: c, request: c.request, sentAt: w.now})
}

// handleReply ends the dispatch when its reply has arrived or its time limit has passed. A
// request whose time limit has passed may still run later.
func (c *call) handleReply() {
	p, w := c.process, c.process.world
	r := c.reply
	if r == nil && w.now.Sub(c.dispatchStart) >= config.MaxDispatch {
		r = &reply{result: claim.DispatchMayHaveRun}
		w.report.Event("dispatch timed out")
	}
	if r == nil {
		if c.deadlinePassed {
			c.answer(claim.MayHaveRun{Reason: claim.ReasonRunning})
		}
		return
	}
	if !c.pendingInCore {
		c.stage = stageEnded
		if r.result == claim.DispatchCompleted {
			c.answer(claim.Done{Response: r.response, ResponseComplete: true})
		}
		c.remove()
		return
	}
	c.applyStep(p.core.Dispatched(p.env(), c.id, r.response, r.result))
	p.collectOutput()
}

func (c *call) resume() {
	p, w := c.process, c.process.world
	timeUp := c.deadlinePassed || !w.now.Before(c.waitUntil)
	if !c.woken && !timeUp {
		return
	}
	c.woken = false
	if timeUp {
		c.mutantTimeout()
	}
	if c.stage == stageEnded {
		return
	}
	c.applyStep(p.core.Resume(p.env(), c.id, timeUp))
	p.collectOutput()
}

// mutantTimeout implements two of the mutants: what they do when a wait for another
// process's claim times out.
func (c *call) mutantTimeout() {
	p, w := c.process, c.process.world
	state, attempt := p.core.Ledger().Lookup(c.request.key.key)
	info := w.claims[attempt]
	if state != claim.KeyClaimed || info.owner == nil {
		return
	}
	switch w.mutant {
	case mutantNoOutcomeIsNotRun:
		c.stage = stageEnded
		c.answer(claim.NotRun{Reason: claim.ReasonClaimUnclear})
		c.remove()
	case mutantForeignWithdrawal:
		p.enqueue(&pendingAppend{entry: forgeWithdrawal(w, attempt, info)})
	}
}

// answer gives the caller its result, unless it already has one.
func (c *call) answer(r claim.Result) {
	req := c.request
	if req.result != nil {
		return
	}
	req.result = r
	c.process.world.checkAnswer(c.process, req, r)
}

func (c *call) remove() {
	p := c.process
	for i := range p.calls {
		if p.calls[i] == c {
			p.calls = append(p.calls[:i], p.calls[i+1:]...)
			return
		}
	}
}
