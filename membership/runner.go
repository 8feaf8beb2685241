package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/infra"
)

// Transport sends messages to other instances. Send must not block; it may lose
// messages.
type Transport interface {
	Send(to string, m Message)
}

// tickInterval is well below DefaultHeartbeatInterval, so that missing heartbeats
// are detected promptly.
const tickInterval = 100 * time.Millisecond

// Runner runs a Machine: it passes the time, received messages and the platform's
// list to the Machine and sends the Machine's messages over a Transport. It is
// safe for concurrent use.
type Runner struct {
	transport Transport

	mu      sync.Mutex
	machine *Machine

	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
}

// NewRunner returns a Runner. Its view is valid before Serve is called.
func NewRunner(cfg Config, t Transport) *Runner {
	r := &Runner{transport: t, machine: New(cfg, time.Now())}
	first := make(chan struct{})
	r.changed.Store(&first)
	r.view.Store(r.machine.View())
	return r
}

// String returns the service name that the supervisor logs.
func (r *Runner) String() string { return "membership" }

// View returns the current view.
func (r *Runner) View() *View { return r.view.Load() }

// Changed returns a channel that is closed at the next change of the view. Get it
// before calling View, so that no change is missed in between.
func (r *Runner) Changed() <-chan struct{} { return *r.changed.Load() }

// Serve runs the Machine until the context ends.
func (r *Runner) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		r.step(func(m *Machine, now time.Time) []Outgoing { return m.Tick(now) })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Receive applies a message that another instance sent.
func (r *Runner) Receive(msg Message) {
	r.step(func(m *Machine, now time.Time) []Outgoing {
		switch msg := msg.(type) {
		case Heartbeat:
			m.ReceiveHeartbeat(msg, now)
			return nil
		case Summary:
			return m.ReceiveSummary(msg, now)
		default:
			panic("membership: unknown type of message")
		}
	})
}

// ApplyList applies a response of the platform's list. While the list can't be
// read, the last response stays in effect.
func (r *Runner) ApplyList(rows []infra.Instance) {
	r.step(func(m *Machine, now time.Time) []Outgoing {
		m.ApplyList(rows, now)
		return nil
	})
}

// Leave announces to the others that this instance is shutting down. Serve must
// keep running until the process exits, or the others consider it gone.
func (r *Runner) Leave() {
	r.step(func(m *Machine, now time.Time) []Outgoing { return m.Leave(now) })
}

func (r *Runner) step(f func(*Machine, time.Time) []Outgoing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := f(r.machine, time.Now())
	for _, o := range out {
		r.transport.Send(o.To, o.Message)
	}
	v := r.machine.View()
	if v == r.view.Load() {
		return
	}
	r.view.Store(v)
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
}
