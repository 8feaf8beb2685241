package status

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/infra"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/wire"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/membership"
	"tamarackchute/rules"
)

// RuleReplica provides and accepts rules; rules.Replica implements it.
type RuleReplica interface {
	PeerState(applied journal.Position) rules.PeerState
	ApplyPeerState(rules.PeerState) bool
}

// DrainTracker tracks the engines' drains.
type DrainTracker interface {
	// Draining returns the engines that get no new work.
	Draining() []string
	// ExcludeDraining excludes engines to which a peer sends no new work. It has an effect only until
	// the log has been read.
	ExcludeDraining(engines []string)
}

// Source returns the entry's status; the node fills in the sender and the time. It
// must read the journal position before the request counts.
type Source func() wire.EntryStatus

// Options configures a Node.
type Options struct {
	Deployment *settings.Deployment
	Self       settings.Instance
	Secret     []byte
	// ServerTLS and ClientTLS are nil if TLS is off.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Leases    *lease.View
	Rules     RuleReplica
	Drains    DrainTracker
	Applied   func() journal.Position
	// CaughtUp is closed once the log has been read to its end.
	CaughtUp <-chan struct{}
	Source   Source
	Logger   *slog.Logger
}

// Node exchanges state with other entries and the controllers. It is a suture service.
type Node struct {
	opts        Options
	incarnation uint64
	// instances holds all instances of the deployment by name, this one included.
	instances map[string]settings.Instance
	cfg       wire.Config
	log       *slog.Logger

	server    *wire.Server
	members   *membership.Runner
	peerLinks *wire.Links
	// leaderLinks is separate from peerLinks so that heartbeats to entries aren't delayed
	// by statuses.
	leaderLinks *wire.Links
}

// NewNode returns a node; Serve runs it.
func NewNode(o Options) *Node {
	n := &Node{
		opts:        o,
		incarnation: uint64(time.Now().UnixMilli()),
		instances:   map[string]settings.Instance{},
		log:         o.Logger,
		cfg: wire.Config{
			Name: o.Self.Name + "/entry", Secret: o.Secret,
			ClientTLS: o.ClientTLS, ServerTLS: o.ServerTLS,
		},
	}
	var all []membership.Peer
	for _, in := range o.Deployment.Instances {
		n.instances[in.Name] = in
		all = append(all, membership.Peer{Name: in.Name, DataCentre: in.DataCentre})
	}
	n.peerLinks = wire.NewLinks("links to entries", n.cfg, nil, n.log)
	n.leaderLinks = wire.NewLinks("links to controllers", n.cfg, nil, n.log)
	n.members = membership.NewRunner(membership.Config{
		Self:        membership.Peer{Name: o.Self.Name, DataCentre: o.Self.DataCentre},
		Peers:       all,
		Incarnation: n.incarnation,
		Nearest:     o.Deployment.Nearest,
	}, transport{n})
	n.server = wire.NewServer(n.cfg, o.Self.Peers, wire.HandlerFunc(n.handle), n.log)
	return n
}

// String names the service for the supervisor.
func (n *Node) String() string { return "exchange with peers" }

// Serve runs until the context ends.
func (n *Node) Serve(ctx context.Context) error {
	s := suture.New(n.String(), suture.Spec{EventHook: n.logEvent, FailureBackoff: time.Second})
	s.Add(n.server)
	s.Add(n.peerLinks)
	s.Add(n.leaderLinks)
	s.Add(n.members)
	s.Add(&statusPusher{node: n})
	s.Add(&rulesFetcher{node: n})
	return s.Serve(ctx)
}

func (n *Node) logEvent(e suture.Event) { n.log.Warn("supervisor", "event", e.String()) }

// View returns the current membership view. It is only a hint.
func (n *Node) View() *membership.View { return n.members.View() }

// State returns the membership state of one instance. It is only a hint.
func (n *Node) State(instance string) membership.State { return n.View().State(instance) }

// ApplyList applies a response of the platform's instance list.
func (n *Node) ApplyList(rows []infra.Instance) { n.members.ApplyList(rows) }

// Leave announces to the other instances that this one has begun to shut down. Serve must
// keep running until the end.
func (n *Node) Leave() { n.members.Leave() }

// handle processes messages of other entries.
func (n *Node) handle(_ string, m wire.Message, reply func(wire.Message)) {
	switch m := m.(type) {
	case wire.Heartbeat:
		n.members.Receive(m.Heartbeat)
	case wire.Summary:
		n.members.Receive(m.Summary)
	case wire.RulesRequest:
		state := n.opts.Rules.PeerState(n.opts.Applied())
		reply(wire.RulesReply{PeerState: state, Draining: n.opts.Drains.Draining()})
	}
}

// transport sends membership messages over the peer links.
type transport struct{ node *Node }

// Send implements membership.Transport.
func (t transport) Send(to string, m membership.Message) {
	address := t.node.instances[to].Peers
	switch m := m.(type) {
	case membership.Heartbeat:
		t.node.peerLinks.Send(address, wire.Heartbeat{Heartbeat: m})
	case membership.Summary:
		t.node.peerLinks.Send(address, wire.Summary{Summary: m})
	}
}
