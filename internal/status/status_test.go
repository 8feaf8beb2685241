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

const waitTimeout = 20 * time.Second

// freeAddress returns an address with a free port.
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

// testNode is a running node with access to its dependencies.
type testNode struct {
	*Node
	replica      *rules.Replica
	leases       *lease.View
	drainTracker *fakeDrains
}

type fakeDrains struct {
	draining []string
	excluded chan []string
}

func (d *fakeDrains) Draining() []string               { return d.draining }
func (d *fakeDrains) ExcludeDraining(engines []string) { d.excluded <- engines }

// start runs an instance's node until the test ends. Its log is down.
func start(t *testing.T, d *settings.Deployment, i int) testNode {
	n := testNode{replica: rules.NewReplica(rules.ReplicaOptions{}), leases: lease.NewView(), drainTracker: &fakeDrains{[]string{"e" + d.Instances[i].Name}, make(chan []string, 100)}}
	n.Node = NewNode(Options{
		Deployment: d, Self: d.Instances[i], Secret: []byte("a secret of the tests"),
		Leases: n.leases, Rules: n.replica, Drains: n.drainTracker,
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

// An instance that starts with empty memory while the log is down refuses its callers until
// it has rules, which it can get only from a peer. It must not serve before a leader has
// stopped counting its killed predecessor's last status, nor before it knows the peer's
// drains.
func TestRulesFetchedFromPeerWhileLogIsDown(t *testing.T) {
	d := testDeployment(t, 3) // i1 never runs
	source := start(t, d, 0)
	version := rules.Version{Offset: 40, Index: 2}
	document := []byte(`{"rules": [{"name": "all", "when": "true", "then": {"pool": "p"}}]}`)
	require.True(t, source.replica.ApplyPeerState(rules.PeerState{
		State:   rules.State{Version: version, Document: document, At: time.Unix(9, 0)},
		Through: journal.Position(version),
	}))
	started := time.Now()
	target := start(t, d, 2)
	require.Eventually(t, func() bool { return target.replica.Current().Version == version }, waitTimeout, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(started), firstFetchDelay)
	require.Equal(t, []string{"ei0"}, <-target.drainTracker.excluded)
	decision := target.replica.Current().Set.Match(rules.Request{})
	require.Equal(t, "p", decision.Then.Pool)
}

// After a takeover, a controller's orders wait for the status of every entry, so entries
// must find the new leader from the journal alone and immediately.
func TestStatusSentToCurrentLeader(t *testing.T) {
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

// An instance begins to stop. The others must stop listing it as an entry although the
// platform's list hasn't changed.
func TestShutdownIsAnnouncedImmediately(t *testing.T) {
	d := testDeployment(t, 2)
	nodes := []testNode{start(t, d, 0), start(t, d, 1)}
	sees := func(s membership.State) func() bool {
		return func() bool { return nodes[0].State("i1") == s }
	}
	require.Eventually(t, sees(membership.Live), waitTimeout, time.Millisecond)
	nodes[1].Leave()
	require.Eventually(t, sees(membership.Leaving), waitTimeout, time.Millisecond)
	require.Equal(t, []string{"i0"}, nodes[0].View().Entries("a"))
}
