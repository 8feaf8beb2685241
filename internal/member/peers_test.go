package member

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/enginemodel"
	"tamarackchute/internal/wire"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

// peersHarness is a daemon's peer exchange with a tracker of one engine, and no links.
type peersHarness struct {
	*Peers
	tracker *placement.Tracker
	summary Summary

	mu sync.Mutex
	// heard counts the copies of each report of a crash, by its ID.
	heard map[string]int
}

// hearReport counts a report, and says whether it is the first copy.
func (h *peersHarness) hearReport(r wire.QuarantineReport) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[r.ID]++
	return h.heard[r.ID] == 1
}

func (h *peersHarness) copiesHeard(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard[id]
}

func newPeersHarness(address string) *peersHarness {
	return newPeersHarnessAt(wire.MemberAddress{Instance: address, Peers: address}, wire.Config{})
}

func newPeersHarnessAt(self wire.MemberAddress, cfg wire.Config) *peersHarness {
	h := &peersHarness{
		tracker: placement.NewTracker(nil), heard: make(map[string]int),
		summary: Summary{Serving: true, Config: 1, ListPosition: 2, ListDigest: 3},
	}
	h.tracker.Sync([]placement.Member{{ID: "e", DataCentre: "d", Role: upstream.RoleDecode, Slots: 4, KVTokens: 1000}})
	h.Peers = newPeers(self, cfg, h.tracker, discardLogger)
	h.Peers.summary = func() Summary { return h.summary }
	h.Peers.localDemand = func() map[string]wire.MemberDemand { return nil }
	h.Peers.onUpdate = func() {}
	h.Peers.onQuarantineReport = h.hearReport
	h.Peers.requestsWaiting = func() bool { return false }
	h.Peers.onPeerList = func(Position, uint64, time.Duration) {}
	h.Peers.configProof = func(wire.ConfigProofRequest) wire.ConfigProofReply { return wire.ConfigProofReply{} }
	h.Peers.onConfigProof = func(string, wire.ConfigProofReply) {}
	return h
}

func (h *peersHarness) running() int { return h.tracker.Engines([]string{"e"})[0].Running }

// Between two heartbeats only loads are sent; but a new configuration, list or read must be
// reported at once, or peers would read the store themselves.
func TestOnlyLoadsAreSentBetweenHeartbeats(t *testing.T) {
	h := newPeersHarness("a")
	now := time.Now()
	require.Nil(t, h.loadUpdate(now), "nothing has changed")
	h.heartbeatState(now)

	h.tracker.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	loads, ok := h.loadUpdate(now).(wire.MemberLoads)
	require.True(t, ok)
	require.Len(t, loads.Loads, 1)
	require.Nil(t, h.loadUpdate(now))

	for _, change := range []func(){
		func() { h.summary.Config++ },
		func() { h.summary.ListPosition++ },
		func() { h.summary.ListDigest++ },
		func() { h.summary.Serving = false },
		func() { h.summary.KeysStale = true },
	} {
		change()
		h.tracker.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
		require.IsType(t, wire.MemberState{}, h.loadUpdate(now))
	}

	// The list has aged by the time passed: no change.
	now = now.Add(time.Second)
	h.summary.ListAge = time.Second
	h.tracker.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	require.IsType(t, wire.MemberLoads{}, h.loadUpdate(now))
	h.summary.ListAge = 0 // just read
	h.tracker.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	require.IsType(t, wire.MemberState{}, h.loadUpdate(now))
}

// Loads of a peer count only after its state has identified it; those of its former process and
// those that arrive out of order are ignored.
func TestPeerLoadsNeedItsState(t *testing.T) {
	a, b := newPeersHarness("a"), newPeersHarness("b")
	now := time.Now()
	a.tracker.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	a.heartbeatState(now) // lost in transit
	a.tracker.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	early := a.loadUpdate(now)
	b.Handle("", early, nil)
	require.Zero(t, b.running(), "sender not identified yet")

	b.Handle("", a.heartbeatState(now), nil)
	require.Equal(t, 2, b.running())
	a.tracker.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	later := a.loadUpdate(now)
	b.Handle("", later, nil)
	require.Equal(t, 3, b.running())
	b.Handle("", early, nil)
	require.Equal(t, 3, b.running(), "out of order")

	restarted := newPeersHarness("a")
	b.Handle("", restarted.heartbeatState(now), nil)
	require.Zero(t, b.running())
	b.Handle("", later, nil)
	require.Zero(t, b.running(), "of the former process")
}

// Guards against a draining upstream that gets new requests for seconds, as hundreds of daemons
// fetch the whole list from the first that has read the change.
func TestLargeListsComeFromTheStore(t *testing.T) {
	small, large := Summary{ListSize: largeListSize, Config: 2}, Summary{ListSize: largeListSize + 1, Config: 2}
	local := Summary{Config: 2}
	require.Equal(t, listSource{full: true}, chooseSource(local, small, false))
	require.Equal(t, listSource{store: true}, chooseSource(local, large, false))
	require.Equal(t, listSource{full: true}, chooseSource(local, large, true), "the store can't be read")
	require.Equal(t, listSource{config: true, store: true}, chooseSource(Summary{Config: 1}, large, false))
}

// A reader that pauses for long must read at once when a peer reports a change.
func TestExpeditedReaderDoesNotPause(t *testing.T) {
	r := &topicReader{backoff: newBackoff(oneDaemon), interval: time.Hour, readAt: time.Now()}
	require.Positive(t, r.delay())
	go r.expedite()
	r.pause(t.Context(), time.Hour)
	require.Zero(t, r.delay())
	require.Positive(t, r.delay(), "one read only")
}

// Guards against a daemon that has heard of a newer configuration and doesn't know it.
func TestPeersNameTheirConfigurations(t *testing.T) {
	h := newPeersHarness("a")
	var named []uint64
	h.Peers.onConfigNamed = func(version uint64, by string) {
		require.Equal(t, "b", by)
		named = append(named, version)
	}
	h.applyState(wire.MemberState{MemberAddress: wire.MemberAddress{Instance: "b", Peers: "b"}, Seq: 1, ConfigVersion: 7})
	h.applyState(wire.MemberState{MemberAddress: wire.MemberAddress{Instance: "b", Peers: "b"}, Seq: 2, ConfigVersion: 9})
	require.Equal(t, []uint64{7, 9}, named)
}

// Guards against what a daemon's process did that others take for going on after it was killed.
func TestRestartOfAPeerIsTold(t *testing.T) {
	h := newPeersHarness("a")
	h.onQuarantineFingerprint, h.onConfigNamed = func(string, uint64) {}, func(uint64, string) {}
	var restarts []string
	h.onRestart = func(instance string) { restarts = append(restarts, instance) }
	b := wire.MemberAddress{Instance: "b", Peers: "b"}
	for _, state := range []struct{ incarnation, seq uint64 }{{1, 1}, {1, 2}, {2, 1}, {2, 2}} {
		h.applyState(wire.MemberState{MemberAddress: b, Incarnation: state.incarnation, Seq: state.seq})
	}
	require.Equal(t, []string{"b"}, restarts)
}
