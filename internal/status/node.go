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

// Book is what a Node needs of the rules; rules.Replica is one.
type Book interface {
	PeerState(applied journal.Position) rules.PeerState
	ApplyPeerState(rules.PeerState) bool
}

// Drains is what a Node needs of the engines' drains.
type Drains interface {
	// Draining names the engines that get no new work.
	Draining() []string
	// Avoid takes engines that a peer gives no new work. Until the log has been
	// read, they get none here either.
	Avoid(engines []string)
}

// Source tells the state of the entry; the node fills in who and when. The
// position must be read before the counts of requests.
type Source func() wire.EntryStatus

// Options is what a Node works with.
type Options struct {
	Deployment *settings.Deployment
	Self       settings.Instance
	Secret     []byte
	// ServerTLS and ClientTLS are nil if TLS is off.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Leases    *lease.View
	Rules     Book
	Drains    Drains
	Applied   func() journal.Position
	// CaughtUp is closed once the log has been read to its end.
	CaughtUp <-chan struct{}
	Source   Source
	Logger   *slog.Logger
}

// Node runs an entry's side of the exchange. It is a suture service.
type Node struct {
	opts        Options
	incarnation uint64
	peers       map[string]settings.Instance
	cfg         wire.Config
	log         *slog.Logger

	server  *wire.Server
	members *membership.Runner
	toPeers *wire.Links
	// toLeaders is apart, so that no entry's heartbeats wait behind statuses.
	toLeaders *wire.Links
}

// NewNode returns a node; Serve runs it.
func NewNode(o Options) *Node {
	n := &Node{
		opts:        o,
		incarnation: uint64(time.Now().UnixMilli()),
		peers:       map[string]settings.Instance{},
		log:         o.Logger,
		cfg: wire.Config{
			Name: o.Self.Name + "/entry", Secret: o.Secret,
			ClientTLS: o.ClientTLS, ServerTLS: o.ServerTLS,
		},
	}
	var all []membership.Peer
	for _, in := range o.Deployment.Instances {
		n.peers[in.Name] = in
		all = append(all, membership.Peer{Name: in.Name, DataCentre: in.DataCentre})
	}
	n.toPeers = wire.NewLinks("links to entries", n.cfg, nil, n.log)
	n.toLeaders = wire.NewLinks("links to controllers", n.cfg, nil, n.log)
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
	s := suture.New(n.String(), suture.Spec{EventHook: n.event, FailureBackoff: time.Second})
	s.Add(n.server)
	s.Add(n.toPeers)
	s.Add(n.toLeaders)
	s.Add(n.members)
	s.Add(&pusher{node: n})
	s.Add(&rulesFetcher{node: n})
	return s.Serve(ctx)
}

func (n *Node) event(e suture.Event) { n.log.Warn("supervisor", "event", e.String()) }

// View returns what is believed about the instances now; a hint only.
func (n *Node) View() *membership.View { return n.members.View() }

// State returns what is believed about one instance now; a hint only.
func (n *Node) State(instance string) membership.State { return n.View().State(instance) }

// TakeList takes an answer of the platform's list of instances.
func (n *Node) TakeList(rows []infra.Instance) { n.members.ApplyList(rows) }

// Leave tells the other instances at once that this one has begun to stop. The
// node must be served until the end.
func (n *Node) Leave() { n.members.Leave() }

// handle takes messages of other entries.
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

// transport sends the membership's messages.
type transport struct{ node *Node }

// Send implements membership.Transport.
func (t transport) Send(to string, m membership.Message) {
	address := t.node.peers[to].Peers
	switch m := m.(type) {
	case membership.Heartbeat:
		t.node.toPeers.Send(address, wire.Heartbeat{Heartbeat: m})
	case membership.Summary:
		t.node.toPeers.Send(address, wire.Summary{Summary: m})
	}
}
