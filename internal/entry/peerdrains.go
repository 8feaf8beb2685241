package entry

import (
	"maps"
	"slices"
	"sync"

	"tamarackchute/internal/entry/inflight"
	"tamarackchute/orders"
)

// peerDrains adds to the journal's orders, until the log has been read, the
// drains that peers told of. An entry that starts without the log serves on a
// peer's rules; without the drains it could send a request to an engine whose
// order is under way, and the order would cut it off. It implements
// inflight.Orders and status.Drains.
type peerDrains struct {
	orders   inflight.Orders
	caughtUp <-chan struct{}

	mu sync.Mutex
	// told is nil once the log has been read.
	reported map[string]bool
}

func newPeerDrains(o inflight.Orders, caughtUp <-chan struct{}) *peerDrains {
	return &peerDrains{orders: o, caughtUp: caughtUp, reported: map[string]bool{}}
}

// Avoid implements status.Drains. What was told before still counts: only the
// log can say that a drain has ended.
func (p *peerDrains) Avoid(engines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range engines {
		if p.reported != nil {
			p.reported[name] = true
		}
	}
}

// Draining implements status.Drains.
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
	// Whether the log has been read is asked before the snapshot: the other way
	// round, a drain could be missing from both.
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
