package entry

import (
	"maps"
	"slices"
	"sync"

	"tamarackchute/internal/entry/inflight"
	"tamarackchute/orders"
)

// peerDrains merges the drains reported by peers into the journal's orders until the
// log has been read. An entry that starts while the log is down serves with a peer's
// rules and could otherwise send a request to a draining engine, which cuts it off once
// it executes its order. It implements inflight.Orders and status.DrainTracker.
type peerDrains struct {
	orders   inflight.Orders
	caughtUp <-chan struct{}

	mu sync.Mutex
	// reported is nil once the log has been read.
	reported map[string]bool
}

func newPeerDrains(o inflight.Orders, caughtUp <-chan struct{}) *peerDrains {
	return &peerDrains{orders: o, caughtUp: caughtUp, reported: map[string]bool{}}
}

// ExcludeDraining implements status.DrainTracker. Earlier reports remain valid, as only the log shows
// that a drain has ended.
func (p *peerDrains) ExcludeDraining(engines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range engines {
		if p.reported != nil {
			p.reported[name] = true
		}
	}
}

// Draining implements status.DrainTracker.
func (p *peerDrains) Draining() []string {
	var names []string
	for name, engine := range p.Snapshot().Engines {
		if !engine.TakesWork() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Snapshot implements inflight.Orders.
func (p *peerDrains) Snapshot() *orders.Snapshot {
	// The reports are read before the snapshot. In the opposite order a drain could be
	// missing from both, if the log is read completely in between.
	reported := p.currentReports()
	s := p.orders.Snapshot()
	if len(reported) == 0 {
		return s
	}
	merged := &orders.Snapshot{Position: s.Position, Engines: maps.Clone(s.Engines)}
	for _, name := range reported {
		merged.Engines[name] = orders.Engine{Name: name, Change: &orders.Change{Phase: orders.PhaseDraining}}
	}
	return merged
}

func (p *peerDrains) currentReports() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.caughtUp:
		p.reported = nil
	default:
	}
	return slices.Collect(maps.Keys(p.reported))
}
