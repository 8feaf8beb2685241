package status

import (
	"context"
	"maps"
	"slices"
	"time"
)

// pushInterval is the time between two statuses to a leader. A drain waits about that long
// for its acknowledgement.
const pushInterval = 500 * time.Millisecond

// statusPusher sends the entry's status to every instance whose controller leads a scope
// according to the journal, because an entry may have requests on any engine.
type statusPusher struct {
	node *Node
	seq  uint64
}

func (p *statusPusher) String() string { return "status to the leaders" }

// Serve pushes until the context ends, and immediately when a leader changes.
func (p *statusPusher) Serve(ctx context.Context) error {
	tick := time.NewTicker(pushInterval)
	defer tick.Stop()
	var lastLeaders []string
	for {
		changed := p.node.opts.Leases.Changed()
		leaders := p.leaders()
		if !slices.Equal(leaders, lastLeaders) {
			p.push(leaders)
			lastLeaders = leaders
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-tick.C:
			p.push(leaders)
		}
	}
}

// leaders returns the instances that hold a scope, sorted.
func (p *statusPusher) leaders() []string {
	holders := map[string]bool{}
	for _, scope := range p.node.opts.Leases.Snapshot().Scopes {
		if scope.Held {
			holders[scope.Holder] = true
		}
	}
	return slices.Sorted(maps.Keys(holders))
}

func (p *statusPusher) push(leaders []string) {
	if len(leaders) == 0 {
		return
	}
	status := p.node.opts.Source()
	p.seq++
	status.Instance = p.node.opts.Self.Name
	status.DataCentre = p.node.opts.Self.DataCentre
	status.Incarnation = p.node.incarnation
	status.Seq = p.seq
	status.At = time.Now()
	for _, name := range leaders {
		if in, ok := p.node.instances[name]; ok {
			p.node.leaderLinks.Send(in.ControllerPeers, status)
		}
	}
}
