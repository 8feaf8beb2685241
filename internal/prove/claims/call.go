package claims

import (
	"time"

	"tamarackchute/claim"
)

type stage int

const (
	stageClaiming stage = iota
	stageWon            // the last look before the dispatch is next
	stageSending        // the request goes out next
	stageSent           // the request is on its way, or its answer is
	stageWaiting
	stageEnded
)

// call is a caller's request within a process.
type call struct {
	proc    *process
	id      claim.CallID
	request *send
	stage   stage
	started time.Time
	until   time.Time
	woken   bool
	// gaveUp is set when the caller's deadline has passed.
	gaveUp bool
	// inCore is whether the core still knows the call.
	inCore bool
	reply  *reply
	sentAt time.Time
}

// begin takes a caller's request.
func (p *process) begin(s *send) {
	c := &call{proc: p, request: s, started: p.world.now, inCore: true}
	p.calls = append(p.calls, c)
	var step claim.Step
	c.id, step = p.core.Start(p.env(), s.key.key, s.digest)
	c.follow(step)
	p.changed()
}

// follow does what a step of the core asks for, or notes it as next.
func (c *call) follow(step claim.Step) {
	p, w := c.proc, c.proc.world
	switch s := step.(type) {
	case claim.ClaimStep:
		c.stage = stageClaiming
		a := &pendingAppend{entry: s.Entry, call: c}
		w.claims[lastAttempt(w)] = claimInfo{writer: p.name, owner: p, key: c.request.key, digest: c.request.digest}
		if w.mutant == dispatchBeforeClaim {
			a.call = nil
			c.mayDispatch()
		}
		p.queue(a)
	case claim.DispatchStep:
		c.stage = stageWon
	case claim.WaitStep:
		c.stage, c.until = stageWaiting, s.Until
	case claim.ResultStep:
		c.inCore = false
		c.stage = stageEnded
		c.answer(s.Result)
		c.remove()
	}
}

// lastAttempt is the attempt that was made last.
func lastAttempt(w *world) claim.AttemptID {
	w.attempts--
	return w.newAttempt()
}

// claimed hands the end of a claim's append to the core.
func (c *call) claimed(r claim.AppendResult) {
	p := c.proc
	step := p.core.Claimed(p.env(), c.id, r)
	_, won := step.(claim.DispatchStep)
	if p.world.mutant == secondClaimRuns && r == claim.Appended && !won {
		_, ended := step.(claim.ResultStep)
		c.inCore = !ended
		c.mayDispatch()
		return
	}
	c.follow(step)
	p.changed()
}

// advance takes the call's next step, if it can be taken now.
func (c *call) advance() {
	switch c.stage {
	case stageWon:
		c.confirm()
	case stageSending:
		c.dispatch()
	case stageSent:
		c.takeReply()
	case stageWaiting:
		c.resume()
	}
}

func (c *call) confirm() {
	p, env := c.proc, c.proc.env()
	if p.world.mutant == noLookBeforeDispatch {
		env.Now = c.started
	}
	if step := p.core.Confirm(env, c.id, c.gaveUp); step != nil {
		c.follow(step)
		p.changed()
		return
	}
	c.mayDispatch()
}

// mayDispatch starts the time that a dispatch may take.
func (c *call) mayDispatch() {
	c.stage = stageSending
	c.sentAt = c.proc.world.now
}

// dispatch puts the request on the network, unless no connection can be made
// or the dispatch's time ran out during a pause.
func (c *call) dispatch() {
	w := c.proc.world
	c.stage = stageSent
	late := w.now.Sub(c.sentAt) >= config.MaxDispatch && w.mutant != noLookBeforeDispatch
	if late || (!w.calm && w.chance(5)) {
		c.reply = &reply{failure: claim.DispatchNotRun}
		return
	}
	w.network = append(w.network, &request{call: c, send: c.request, sentAt: w.now})
}

// takeReply ends the dispatch when its reply is there or its time is up. A
// request whose time is up may still run later.
func (c *call) takeReply() {
	p, w := c.proc, c.proc.world
	r := c.reply
	if r == nil && w.now.Sub(c.sentAt) >= config.MaxDispatch {
		r = &reply{failure: claim.DispatchMayHaveRun}
		w.report.Event("dispatch timed out")
	}
	if r == nil {
		if c.gaveUp {
			c.answer(claim.MayHaveRun{Reason: claim.ReasonRunning})
		}
		return
	}
	if !c.inCore {
		c.stage = stageEnded
		if r.failure == claim.DispatchCompleted {
			c.answer(claim.Done{Response: r.recorded, ResponseComplete: true})
		}
		c.remove()
		return
	}
	c.follow(p.core.Dispatched(p.env(), c.id, r.recorded, r.failure))
	p.changed()
}

func (c *call) resume() {
	p, w := c.proc, c.proc.world
	timeUp := c.gaveUp || !w.now.Before(c.until)
	if !c.woken && !timeUp {
		return
	}
	c.woken = false
	if timeUp {
		c.brokenTimeout()
	}
	if c.stage == stageEnded {
		return
	}
	c.follow(p.core.Resume(p.env(), c.id, timeUp))
	p.changed()
}

// brokenTimeout is what two of the mutants do when nothing comes of somebody
// else's claim.
func (c *call) brokenTimeout() {
	p, w := c.proc, c.proc.world
	state, attempt := p.core.Ledger().Lookup(c.request.key.key)
	info := w.claims[attempt]
	if state != claim.KeyClaimed || info.owner == nil {
		return
	}
	switch w.mutant {
	case silenceIsNotRun:
		c.stage = stageEnded
		c.answer(claim.NotRun{Reason: claim.ReasonClaimUnclear})
		c.remove()
	case anybodyWithdraws:
		p.queue(&pendingAppend{entry: forgeWithdrawal(w, attempt, info)})
	}
}

// answer tells the caller, unless it was told before.
func (c *call) answer(r claim.Result) {
	s := c.request
	if s.result != nil {
		return
	}
	s.result = r
	c.proc.world.checkAnswer(c.proc, s, r)
}

func (c *call) remove() {
	p := c.proc
	for i := range p.calls {
		if p.calls[i] == c {
			p.calls = append(p.calls[:i], p.calls[i+1:]...)
			return
		}
	}
}
