package status

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/settings"
	"tamarackchute/internal/wire"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/membership"
	"tamarackchute/rules"
)

const patience = 20 * time.Second

// freeAddress finds a port that nobody listens on.
func freeAddress(t *testing.T, ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func testDeployment(t *testing.T, instances int) *settings.Deployment {
	d := &settings.Deployment{DataCentres: []settings.DataCentre{{Name: "a"}}}
	for i := range instances {
		ip := fmt.Sprintf("127.9.2.%d", i+1)
		d.Instances = append(d.Instances, settings.Instance{
			Name: fmt.Sprintf("i%d", i), DataCentre: "a",
			Peers: freeAddress(t, ip), ControllerPeers: freeAddress(t, ip),
		})
	}
	return d
}

type testNode struct {
	*Node
	book   *rules.Replica
	leases *lease.View
	drains *drains
}

type drains struct {
	draining []string
	avoided  chan []string
}

func (d *drains) Draining() []string     { return d.draining }
func (d *drains) Avoid(engines []string) { d.avoided <- engines }

// start runs the node of an instance until the test ends. Its log is down.
func start(t *testing.T, d *settings.Deployment, i int) testNode {
	n := testNode{book: rules.NewReplica(rules.ReplicaOptions{}), leases: lease.NewView(), drains: &drains{[]string{"e" + d.Instances[i].Name}, make(chan []string, 100)}}
	n.Node = NewNode(Options{
		Deployment: d, Self: d.Instances[i], Secret: []byte("a secret of the tests"),
		Leases: n.leases, Rules: n.book, Drains: n.drains,
		Applied: func() journal.Position { return journal.Position{} },
		Source:  func() wire.EntryStatus { return wire.EntryStatus{Applied: journal.Position{Offset: 5}} },
		Logger:  slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = n.Serve(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return n
}

// An instance starts with empty memory while the log is down. Callers of it are
// refused until it has rules, and the only place to get them is a peer. It must
// not serve on them so soon that a leader could still take its killed
// predecessor's last status for its own, nor before it knows the peer's drains.
func TestRulesComeFromAPeerWhileTheLogIsDown(t *testing.T) {
	d := testDeployment(t, 3) // i1 never runs
	giver := start(t, d, 0)
	version := rules.Version{Offset: 40, Index: 2}
	document := []byte(`{"rules": [{"name": "all", "when": "true", "then": {"pool": "p"}}]}`)
	require.True(t, giver.book.ApplyPeerState(rules.PeerState{
		State:   rules.State{Version: version, Document: document, At: time.Unix(9, 0)},
		Through: journal.Position(version),
	}))
	began := time.Now()
	taker := start(t, d, 2)
	require.Eventually(t, func() bool { return taker.book.Current().Version == version }, patience, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(began), askAfter)
	require.Equal(t, []string{"ei0"}, <-taker.drains.avoided)
	decision := taker.book.Current().Set.Match(rules.Request{})
	require.Equal(t, "p", decision.Then.Pool)
}

// A controller takes over. Its orders wait until every entry has told it what
// is in flight, so entries must find it by the journal alone and at once.
func TestStatusGoesToWhoeverLeads(t *testing.T) {
	d := testDeployment(t, 2)
	received := make(chan wire.EntryStatus, 100)
	server := wire.NewServer(wire.Config{Secret: []byte("a secret of the tests")}, d.Instances[1].ControllerPeers,
		wire.HandlerFunc(func(_ string, m wire.Message, _ func(wire.Message)) { received <- m.(wire.EntryStatus) }),
		slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx) })
	defer func() { cancel(); wg.Wait() }()

	n := start(t, d, 0)
	claim := lease.Record{Op: lease.OpClaim, Scope: "a/fenced", Holder: "i1", Incarnation: "x", Term: time.Minute, Basis: lease.BasisFirst}
	n.leases.Apply(journal.LogEntry{
		Position: journal.Position{Offset: 4}, ReadAt: time.Now(),
		Entry: journal.Entry{Kind: journal.KindLease, ID: "claim", Body: claim.Encode()},
	})
	first, second := <-received, <-received
	require.Equal(t, "i0", first.Instance)
	require.Equal(t, journal.Position{Offset: 5}, first.Applied)
	require.Equal(t, first.Incarnation, second.Incarnation)
	require.Greater(t, second.Seq, first.Seq)
}

// An instance begins to stop. The others must leave it out of their answers
// although the platform's list says nothing yet.
func TestLeavingIsToldAtOnce(t *testing.T) {
	d := testDeployment(t, 2)
	nodes := []testNode{start(t, d, 0), start(t, d, 1)}
	sees := func(s membership.State) func() bool {
		return func() bool { return nodes[0].State("i1") == s }
	}
	require.Eventually(t, sees(membership.Live), patience, time.Millisecond)
	nodes[1].Leave()
	require.Eventually(t, sees(membership.Leaving), patience, time.Millisecond)
	require.Equal(t, []string{"i0"}, nodes[0].View().Entries("a"))
}
