package interleave

import (
	"fmt"
	"time"

	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// engine simulates a model engine. It executes an order again that it receives twice, which
// is a harder case for the sender than an engine that recognises repeats by their ID.
type engine struct {
	w               *world
	name            string
	enforcesFencing bool
	incarnation     string
	role            upstream.Role
	busy            bool
	lastOrder       string
	fencingToken    uint64
	running         int
	// changeSeq rises with each accepted order and crash, which voids scheduled
	// completions.
	changeSeq   int
	pausedUntil time.Duration
	down        bool
	// highestToken is the highest fencing token of an accepted order, whether or not the
	// engine checks tokens.
	highestToken uint64
	// reportedToken is the token reported to a holder that didn't raise it (mutant only).
	reportedToken uint64
}

// scheduleFaults schedules random pauses and crashes of the engine.
func (e *engine) scheduleFaults() {
	w := e.w
	w.schedule(w.randDuration(10*time.Second), func() {
		switch {
		case w.fault(0.3):
			e.pausedUntil = max(e.pausedUntil, w.now+w.randDuration(9*time.Second))
		case w.fault(0.3):
			e.crash()
		}
		e.scheduleFaults()
	})
}

// crash loses the change under way and all requests, but keeps the fencing token, as an
// engine that checks it must.
func (e *engine) crash() {
	e.changeSeq++
	e.incarnation = e.w.id("engine")
	e.busy = false
	e.lastOrder = ""
	e.running = 0
	e.down = true
	seq := e.changeSeq
	e.w.schedule(e.w.randDuration(2*time.Second), func() {
		if e.changeSeq == seq {
			e.down = false
		}
	})
}

// receive delivers a message over a new connection. The message is dropped if the engine
// crashes before it is processed.
func (e *engine) receive(run func(), refused func()) {
	if e.down {
		e.w.schedule(time.Millisecond, refused)
		return
	}
	incarnation := e.incarnation
	var work func()
	work = func() {
		if e.w.now < e.pausedUntil {
			e.w.schedule(e.pausedUntil-e.w.now+e.w.randDuration(20*time.Millisecond), work)
			return
		}
		if e.incarnation == incarnation {
			run()
		}
	}
	e.w.schedule(e.w.randDuration(20*time.Millisecond), work)
}

// handleOrder accepts or rejects an order.
func (e *engine) handleOrder(o upstream.Order) error {
	if o.Kind == upstream.OrderRaiseToken {
		return e.handleRaise(o)
	}
	if e.isFenced(o) {
		return upstream.ErrFenced
	}
	e.checkNoConflict(o)
	if e.busy {
		return upstream.ErrBusy
	}
	e.checkAccepted(o)
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.highestToken = max(e.highestToken, o.FencingToken)
	e.lastOrder = o.ID
	e.busy = true
	e.changeSeq++
	e.w.report.Event("order accepted")
	e.performChange(o)
	return nil
}

func (e *engine) handleRaise(o upstream.Order) error {
	if e.w.mutant == mutantTokenNotRaised {
		e.reportedToken = max(e.reportedToken, o.FencingToken)
		return nil
	}
	if e.isFenced(o) {
		return upstream.ErrFenced
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.highestToken = max(e.highestToken, o.FencingToken)
	return nil
}

func (e *engine) isFenced(o upstream.Order) bool {
	if e.w.mutant == mutantNoFencing || !e.enforcesFencing || o.FencingToken >= e.fencingToken {
		return false
	}
	e.w.report.Event("order rejected by its fencing token")
	return true
}

// performChange carries an order out, or crashes while doing so.
func (e *engine) performChange(o upstream.Order) {
	seq := e.changeSeq
	duration := e.w.randDuration(3 * time.Second)
	if e.w.fault(0.15) {
		e.w.schedule(duration/2, func() {
			if e.changeSeq == seq {
				e.w.report.Event("engine crashed during a change")
				e.crash()
			}
		})
		return
	}
	e.w.schedule(duration, func() {
		if e.changeSeq == seq {
			e.busy = false
			e.role = o.Role
		}
	})
}

func (e *engine) state() upstream.EngineState {
	s := upstream.EngineState{
		Role: e.role, Busy: e.busy, Running: e.running,
		LastOrder: e.lastOrder, Incarnation: e.incarnation,
	}
	if e.enforcesFencing {
		s.FencingToken = max(e.fencingToken, e.reportedToken)
	}
	return s
}

// Invariants at an engine.
const (
	invariantFencing    = "no order of an older holder after the successor's first"
	invariantNoConflict = "no order while another one is carried out"
	invariantIntended   = "an order takes effect only as the journal's last intent"
	invariantNoCutOff   = "no request is cut off by an order"
)

func (e *engine) checkNoConflict(o upstream.Order) {
	e.w.report.Check(invariantNoConflict, !e.busy || o.ID == e.lastOrder, func() string {
		return fmt.Sprintf("%s received %s while carrying out %s at %v", e.name, o.ID, e.lastOrder, e.w.now)
	})
}

func (e *engine) checkAccepted(o upstream.Order) {
	w := e.w
	w.report.Check(invariantFencing, o.FencingToken >= e.highestToken, func() string {
		return fmt.Sprintf("%s accepted %s with fencing token %d after %d at %v", e.name, o.ID, o.FencingToken, e.highestToken, w.now)
	})
	open := w.reference.changes.Engine(e.name).Open()
	ordered := open != nil && open.ID == o.ID && open.Phase == orders.PhaseOrdered && open.FencingToken == o.FencingToken
	w.report.Check(invariantIntended, ordered, func() string {
		return fmt.Sprintf("%s accepted %s with fencing token %d at %v, open change is %+v", e.name, o.ID, o.FencingToken, w.now, open)
	})
	w.report.Check(invariantNoCutOff, e.running == 0, func() string {
		return fmt.Sprintf("%s accepted %s with %d running requests at %v", e.name, o.ID, e.running, w.now)
	})
}
