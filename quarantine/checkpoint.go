package quarantine

import (
	"fmt"
	"time"

	"tamarackchute/journal"
)

// worthKeeping is the number of strikes from which a suspect outlives the log's records: most of
// those with fewer were only in flight at a crash.
const worthKeeping = 2

// maxCheckpoints bounds the checkpoints written in one pass.
const maxCheckpoints = 16

// due returns checkpoints of the digests whose newest entry is older than half
// the retention. Their IDs are derived from their contents, so that the same
// checkpoint by several instances counts once.
func (g *Guard) due(retention time.Duration) []journal.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []journal.Entry
	for _, x := range g.state.suspects {
		if len(out) == maxCheckpoints {
			break
		}
		age := g.state.logNow.Sub(x.written)
		if age < retention/2 || len(x.crashes) == 0 || x.quarantined.IsZero() && x.strikes < worthKeeping {
			continue
		}
		id := fmt.Sprintf("quarantine/%s/%d.%d/%d", x.digest, x.basis.Offset, x.basis.Index, x.written.UnixNano())
		out = append(out, entryOf(g.kind, id, g.writer, message{Checkpoint: x.checkpoint()}))
	}
	return append(out, g.state.releasesDue(retention, g.writer)...)
}

// releasesDue returns copies of the releases whose newest entry is older than half
// the retention.
func (s *State) releasesDue(retention time.Duration, writer string) []journal.Entry {
	var out []journal.Entry
	for d, r := range s.released {
		if s.logNow.Sub(r.written) < retention/2 || len(out) == maxCheckpoints {
			continue
		}
		release := r.release
		release.Basis, release.At = r.position, r.at
		id := fmt.Sprintf("quarantine/release/%s/%d", d, r.written.UnixNano())
		out = append(out, entryOf(s.cfg.Kind, id, writer, message{Release: &release}))
	}
	return out
}

func (x *suspect) checkpoint() *checkpoint {
	return &checkpoint{
		Digest:      x.digest,
		Crashes:     x.crashes,
		Strikes:     x.strikes,
		Quarantined: x.quarantined,
		Answered:    x.answered,
		Basis:       x.basis,
	}
}
