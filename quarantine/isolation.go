package quarantine

import (
	"context"
	"sync"

	"github.com/google/uuid"
)

// Isolation is a suspect's run on an upstream without other suspects.
type Isolation struct {
	g        *Guard
	upstream string
	digest   Digest
	logged   bool
	once     sync.Once
}

// End ends the isolation. passed says that the run got its complete response, or
// came some tokens further than the run that made it a suspect: what crashed the
// upstream then would have crashed it again. If the upstream has crashed, call
// Crashed first. Further calls do nothing.
func (i *Isolation) End(ctx context.Context, passed bool) {
	i.once.Do(func() { i.end(ctx, passed) })
}

func (i *Isolation) end(ctx context.Context, passed bool) {
	i.g.releaseLocally(i.upstream, i.digest)
	if passed {
		i.g.clearSuspicion(i.digest)
	}
	e := entryOf(i.g.kind, uuid.NewString(), i.g.writer, message{IsolationEnd: &isolationEnd{i.digest, i.upstream, passed}})
	if _, err := i.g.journal.Append(ctx, e); err != nil {
		i.g.enqueue(e)
	}
}

// clearSuspicion drops the crashes that only this process knows of.
func (g *Guard) clearSuspicion(d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unconfirmed, d)
	g.changed()
}
