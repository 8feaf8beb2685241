package interleave

import (
	"fmt"
	"time"

	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// engine is a model engine. It repeats an order that it gets twice, which is
// harder on the sender than one that tells repeats by their ID.
type engine struct {
	w           *world
	name        string
	checks      bool
	incarnation string
	role        upstream.Role
	busy        bool
	lastOrder   string
	fence       uint64
	running     int
	epoch       int
	pausedUntil time.Duration
	down        bool
	// highest is the highest fencing number of an order that it has taken,
	// whether it checks or not.
	highest uint64
	// pretended is what it says to a holder that didn't raise the number.
	pretended uint64
}

// live pauses and crashes the engine now and then.
func (e *engine) live() {
	w := e.w
	w.after(w.upTo(10*time.Second), func() {
		switch {
		case w.fault(0.3):
			e.pausedUntil = max(e.pausedUntil, w.now+w.upTo(9*time.Second))
		case w.fault(0.3):
			e.crash()
		}
		e.live()
	})
}

// crash loses the change under way and all requests, and keeps the fencing
// number, as an engine that checks them must.
func (e *engine) crash() {
	e.epoch++
	e.incarnation = e.w.id("engine")
	e.busy = false
	e.lastOrder = ""
	e.running = 0
	e.down = true
	epoch := e.epoch
	e.w.after(e.w.upTo(2*time.Second), func() {
		if e.epoch == epoch {
			e.down = false
		}
	})
}

// receive hands something to the engine over a connection made now. It is
// dropped if the engine dies before it has been worked on.
func (e *engine) receive(run func(), refused func()) {
	if e.down {
		e.w.after(time.Millisecond, refused)
		return
	}
	incarnation := e.incarnation
	var work func()
	work = func() {
		if e.w.now < e.pausedUntil {
			e.w.after(e.pausedUntil-e.w.now+e.w.upTo(20*time.Millisecond), work)
			return
		}
		if e.incarnation == incarnation {
			run()
		}
	}
	e.w.after(e.w.upTo(20*time.Millisecond), work)
}

// take takes an order in, or refuses it.
func (e *engine) take(o upstream.Order) error {
	if o.Kind == upstream.OrderFence {
		return e.raise(o)
	}
	if e.refuses(o) {
		return upstream.ErrFenced
	}
	e.checkConflict(o)
	if e.busy {
		return upstream.ErrBusy
	}
	e.checkTaken(o)
	e.fence = max(e.fence, o.FencingToken)
	e.highest = max(e.highest, o.FencingToken)
	e.lastOrder = o.ID
	e.busy = true
	e.epoch++
	e.w.report.Event("order taken")
	e.change(o)
	return nil
}

func (e *engine) raise(o upstream.Order) error {
	if e.w.mutant == mutantNoRaise {
		e.pretended = max(e.pretended, o.FencingToken)
		return nil
	}
	if e.refuses(o) {
		return upstream.ErrFenced
	}
	e.fence = max(e.fence, o.FencingToken)
	e.highest = max(e.highest, o.FencingToken)
	return nil
}

func (e *engine) refuses(o upstream.Order) bool {
	if e.w.mutant == mutantNoFencing || !e.checks || o.FencingToken >= e.fence {
		return false
	}
	e.w.report.Event("order refused by its fencing number")
	return true
}

// change carries an order out, or crashes in the middle of it.
func (e *engine) change(o upstream.Order) {
	epoch := e.epoch
	took := e.w.upTo(3 * time.Second)
	if e.w.fault(0.15) {
		e.w.after(took/2, func() {
			if e.epoch == epoch {
				e.w.report.Event("engine crashed in a change")
				e.crash()
			}
		})
		return
	}
	e.w.after(took, func() {
		if e.epoch == epoch {
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
	if e.checks {
		s.FencingToken = max(e.fence, e.pretended)
	}
	return s
}

// The invariants as an engine sees them.
const (
	invariantFence    = "no order of an older holder after the successor's first"
	invariantConflict = "no order while another one is carried out"
	invariantOpen     = "an order takes effect only as the journal's last intent"
	invariantCut      = "no request is cut off by an order"
)

func (e *engine) checkConflict(o upstream.Order) {
	e.w.report.Check(invariantConflict, !e.busy || o.ID == e.lastOrder, func() string {
		return fmt.Sprintf("%s got %s while it carries out %s at %v", e.name, o.ID, e.lastOrder, e.w.now)
	})
}

func (e *engine) checkTaken(o upstream.Order) {
	w := e.w
	w.report.Check(invariantFence, o.FencingToken >= e.highest, func() string {
		return fmt.Sprintf("%s took %s with number %d after %d at %v", e.name, o.ID, o.FencingToken, e.highest, w.now)
	})
	open := w.truth.changes.Engine(e.name).Open()
	ordered := open != nil && open.ID == o.ID && open.Phase == orders.PhaseOrdered && open.FencingToken == o.FencingToken
	w.report.Check(invariantOpen, ordered, func() string {
		return fmt.Sprintf("%s took %s with number %d at %v, open is %+v", e.name, o.ID, o.FencingToken, w.now, open)
	})
	w.report.Check(invariantCut, e.running == 0, func() string {
		return fmt.Sprintf("%s took %s with %d requests at %v", e.name, o.ID, e.running, w.now)
	})
}
