package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/placement"
)

// Daemons exchange loads many times a second, and traffic between data centres is
// charged for. A report of one changed load must be a small message.
func TestLoadMessagesAreSmall(t *testing.T) {
	loads := []placement.UpstreamLoad{{Upstream: placement.KeyOf("e", time.Time{}), Load: placement.Load{Running: 3, LongStreams: 1, PrefillSent: 1 << 30, PrefillDone: 1 << 30}}}
	body, err := encode(MemberLoads{Incarnation: 1 << 62, Seq: 100_000, Loads: loads})
	require.NoError(t, err)
	require.Less(t, len(body), 50)
	state, err := encode(MemberState{
		MemberAddress: MemberAddress{Instance: "frontend-cesis-a-1", DataCentre: "cesis-a", Callers: "10.1.0.35:8144", Peers: "10.1.0.35:7660"},
		Incarnation:   1 << 62, Seq: 100_000, ListPosition: 100_000, ListDigest: 1 << 62, ListAge: 1 << 29, Loads: loads,
	})
	require.NoError(t, err)
	t.Logf("loads %d bytes, state %d bytes", len(body), len(state))
}

// BenchmarkLoads encodes and decodes a message of 22 loads and 30 prefills, as the daemons
// of a large site exchange many times a second.
func BenchmarkLoads(b *testing.B) {
	var m LoadTotals
	for i := range 22 {
		m.Loads = append(m.Loads, placement.UpstreamLoad{Upstream: placement.Key(i << 20), Load: placement.Load{Running: i, ReservedKVTokens: i << 10, PrefillSent: uint32(i) << 20, PrefillDone: uint32(i) << 19}})
	}
	for i := range 30 {
		m.Prefills = append(m.Prefills, placement.PrefillEvent{Engine: placement.Key(i << 20), State: placement.PrefillFinished, LastShared: placement.Part{ID: uint64(i) << 50, Tokens: 6300}, UnsharedTokens: 2890})
	}
	b.ReportAllocs()
	for b.Loop() {
		body, err := encode(m)
		require.NoError(b, err)
		_, err = decode(m.Kind(), body)
		require.NoError(b, err)
	}
}
