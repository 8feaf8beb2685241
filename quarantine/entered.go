package quarantine

import (
	"time"

	"tamarackchute/journal"
)

// Entered says that a digest's quarantine began. It follows from the fold of the
// crash report that tipped the balance, so every process that reads that report
// sees it, once, however many processes report the crash. A process that learns
// of a quarantine from a checkpoint only doesn't see its beginning.
type Entered struct {
	Digest Digest
	// Upstreams are those that died with it in flight, in order.
	Upstreams []string
	// Writer is the process whose report came first in the log.
	Writer string
	// At is by the log's clock.
	At time.Time
}

func (x *suspect) entered(p journal.Placed) Entered {
	e := Entered{Digest: x.digest, Writer: p.Entry.Writer, At: p.At}
	for _, c := range x.crashes {
		e.Upstreams = append(e.Upstreams, c.Upstream)
	}
	return e
}

// Observe sets what is told of each quarantine that begins, in the log's order.
// It must be set before the first entry is folded, and must not call the guard.
func (g *Guard) Observe(f func(Entered)) { g.observe = f }
