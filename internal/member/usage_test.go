package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/boottime"
	"tamarackchute/internal/wire"
	"tamarackchute/usage"
)

// usageDaemon is a daemon's part in the counting of usage.
type usageDaemon struct {
	*peersHarness
	sync *usageSync
}

func newUsageDaemon(t *testing.T, address string) *usageDaemon {
	t.Helper()
	d := &usageDaemon{peersHarness: newPeersHarness(address)}
	meter := &usageMeter{
		settings: ProviderSettings{UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second},
		clock:    usage.NewClock(boottime.Now, time.Now), table: usage.NewTable(), instance: address, incarnation: d.incarnation,
	}
	d.sync = &usageSync{meter: meter, peers: d.Peers, log: discardLogger}
	d.onUsage, d.onUsageAck, d.usageReply = meter.table.Merge, d.sync.confirm, d.sync.reply
	return d
}

// listen lets other daemons call this one.
func (d *usageDaemon) listen(t *testing.T, cfg wire.Config) {
	t.Helper()
	s := wire.NewServer(cfg, d.self.Peers, d.Peers, discardLogger)
	go func() { _ = s.Serve(t.Context()) }()
}

// Guards against a bill of a part of the requests: the daemon that adds up the counts is cut off
// from the journal, so that it doesn't know the lease holder, which is another daemon and not in
// touch with most others.
func TestHolderFetchesCountsFromTheirSum(t *testing.T) {
	cfg := wire.Config{Name: "t", Secret: []byte("secret of " + t.Name())}
	sum, holder := newUsageDaemon(t, "127.0.0.1:20401"), newUsageDaemon(t, "127.0.0.1:20402")
	holder.sync.cfg = cfg
	sum.listen(t, cfg)
	holder.applyState(wire.MemberState{MemberAddress: sum.self, Incarnation: 1, Seq: 1, Serving: true, FullMesh: true})
	at := time.Now()
	window := usage.WindowAt(at, 5*time.Second)
	for _, daemon := range []string{"x", "y"} {
		sum.sync.meter.table.Add(daemon, 1, window, "o")
	}
	holder.sync.meter.table.Add("holder", 1, window, "o")
	require.Eventually(t, func() bool {
		holder.sync.fetch(t.Context())
		return holder.sync.meter.table.Sum(window)["o"] == 3
	}, 10*time.Second, 10*time.Millisecond)
	sum.sync.meter.table.Add("x", 1, window, "o")
	holder.sync.fetch(t.Context())
	require.Equal(t, uint32(4), holder.sync.meter.table.Sum(window)["o"], "what has changed since")
}

// The source names the daemon to which it passes counts itself: that one is asked next.
func TestHolderFollowsTheRecipientsOfCounts(t *testing.T) {
	cfg := wire.Config{Name: "t", Secret: []byte("secret of " + t.Name())}
	top, middle, holder := newUsageDaemon(t, "127.0.0.1:20411"), newUsageDaemon(t, "127.0.0.1:20412"), newUsageDaemon(t, "127.0.0.1:20413")
	holder.sync.cfg = cfg
	top.listen(t, cfg)
	middle.listen(t, cfg)
	middle.applyState(wire.MemberState{MemberAddress: top.self, Incarnation: 1, Seq: 1, Serving: true, FullMesh: true})
	holder.applyState(wire.MemberState{MemberAddress: middle.self, Incarnation: 1, Seq: 1, Serving: true, FullMesh: true})
	top.sync.meter.table.Add("x", 1, 7, "o")
	require.Eventually(t, func() bool {
		holder.sync.fetch(t.Context())
		return holder.sync.meter.table.Sum(7)["o"] == 1
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, top.self.Peers, holder.sync.source)
}
