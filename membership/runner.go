package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/infra"
)

// Transport sends messages to other instances. Send must not block, and may
// lose messages.
type Transport interface {
	Send(to string, m Message)
}

// tickEvery is well below a beat, so that silence is noticed in time.
const tickEvery = 100 * time.Millisecond

// Runner runs a Machine: it passes it time, messages and the platform's list,
// and hands its messages to a transport. All its methods may be called from
// several goroutines.
type Runner struct {
	transport Transport

	mu      sync.Mutex
	machine *Machine

	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
}

// NewRunner returns a runner; Serve runs it. Its view is usable at once.
func NewRunner(cfg Config, t Transport) *Runner {
	r := &Runner{transport: t, machine: New(cfg, time.Now())}
	first := make(chan struct{})
	r.changed.Store(&first)
	r.view.Store(r.machine.View())
	return r
}

// String names the service for the supervisor.
func (r *Runner) String() string { return "membership" }

// View returns what is believed now.
func (r *Runner) View() *View { return r.view.Load() }

// Changed returns a channel that is closed at the next change of the view. Take
// it before View, so that no change is missed in between.
func (r *Runner) Changed() <-chan struct{} { return *r.changed.Load() }

// Serve runs until the context ends.
func (r *Runner) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
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

// Receive takes a message that another instance sent.
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

// TakeList takes an answer of the platform's list. While it can't be read, the
// last one counts on.
func (r *Runner) ApplyList(rows []infra.Instance) {
	r.step(func(m *Machine, now time.Time) []Outgoing {
		m.ApplyList(rows, now)
		return nil
	})
}

// Leave tells the others that this instance has begun to stop. Serve must go on
// running until the end, or the others take it for dead.
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
