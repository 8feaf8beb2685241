package status

import (
	"context"
	"maps"
	"slices"
	"time"
)

// pushEvery is the time between two statuses to a leader. A drain waits about
// that long for its acknowledgement.
const pushEvery = 500 * time.Millisecond

// pusher sends the entry's status to every instance whose controller leads a
// scope, as far as the journal tells: an entry may have work on any engine.
type pusher struct {
	node *Node
	seq  uint64
}

func (p *pusher) String() string { return "status to the leaders" }

// Serve pushes until the context ends, and at once whenever a leader changes.
func (p *pusher) Serve(ctx context.Context) error {
	tick := time.NewTicker(pushEvery)
	defer tick.Stop()
	var told []string
	for {
		changed := p.node.opts.Leases.Changed()
		leaders := p.leaders()
		if !slices.Equal(leaders, told) {
			p.push(leaders)
			told = leaders
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

// leaders names the instances that hold a scope, in order.
func (p *pusher) leaders() []string {
	holders := map[string]bool{}
	for _, scope := range p.node.opts.Leases.Snapshot().Scopes {
		if scope.Held {
			holders[scope.Holder] = true
		}
	}
	return slices.Sorted(maps.Keys(holders))
}

func (p *pusher) push(leaders []string) {
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
		if in, ok := p.node.peers[name]; ok {
			p.node.toLeaders.Send(in.ControllerPeers, status)
		}
	}
}
