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
}

func (x *suspect) entered(p journal.LogEntry) Entered {
	e := Entered{Digest: x.digest, Writer: p.Entry.Writer, At: p.At}
	for _, c := range x.crashes {
		e.Upstreams = append(e.Upstreams, c.Upstream)
	}
	return e
}

// Observe sets the function that is called with each new quarantine, in log
// order. It must be set before the first entry is folded; the function must not
// call the guard.
func (g *Guard) Observe(f func(Entered)) { g.observe = f }
