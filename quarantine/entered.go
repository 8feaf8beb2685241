package quarantine

import (
	"time"

	"tamarackchute/journal"
)

// Entered is the event that a digest was quarantined. It occurs when the crash
// report that reaches the limit is folded: once in every process that reads that
// report, however many processes report the crash. A process that learns of a
// quarantine only from a checkpoint doesn't see the event.
type Entered struct {
	Digest Digest
	// Upstreams are those that crashed with it in flight, in order.
	Upstreams []string
	// Writer is the process whose report came first in the log.
	Writer string
	// At is by the log's clock.
	At time.Time
	// Strikes and Trials are those behind it. Answered says that it got a complete response lately.
	Strikes, Trials int
	Answered        bool
}

func (x *suspect) entered(p journal.LogEntry) Entered {
	e := Entered{Digest: x.digest, Writer: p.Entry.Writer, At: p.At, Strikes: x.strikes, Trials: x.trials(), Answered: x.answered}
	for _, c := range x.crashes {
		e.Upstreams = append(e.Upstreams, c.Upstream)
	}
	return e
}

// Observe sets the function that is called with each new quarantine, in log
// order. It must be set before the first entry is folded; the function must not
// call the guard.
func (g *Guard) Observe(f func(Entered)) { g.observe = f }

// ObserveSpared is Observe for digests whose crashes would quarantine them if they hadn't been answered lately.
// They are suspects until trials of them have crashed upstreams, too.
func (g *Guard) ObserveSpared(f func(Entered)) { g.observeSpared = f }

// Cleared is the event that a suspect is none any more, because it got a complete response.
type Cleared struct {
	Digest Digest
	// Strikes are those that it had in this process.
	Strikes int
	// Writer is the process that reported the response.
	Writer string
}

// ObserveCleared sets the function that is called with each suspect that is cleared. It must be set before the first
// entry is folded; the function must not call the guard.
func (g *Guard) ObserveCleared(f func(Cleared)) { g.observeCleared = f }

func (g *Guard) observeAll() {
	for _, e := range g.state.entered {
		if g.observe != nil {
			g.observe(e)
		}
	}
	for _, e := range g.state.spared {
		if g.observeSpared != nil {
			g.observeSpared(e)
		}
	}
}
