package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/transfer"
	"tamarackchute/internal/wire"
)

// Guards against further copies of a configuration over a link that is busy with the first one, and
// against waiting for a transfer that would take too long.
func TestWhenAFurtherPeerIsAsked(t *testing.T) {
	const size = 1 << 20
	part := func(bytes int, lasted time.Duration) transfer.Progress {
		return transfer.Progress{Bytes: bytes, Lasted: lasted}
	}
	for name, c := range map[string]struct {
		awaited awaitedConfig
		asks    bool
	}{
		"just heard of":                {awaitedConfig{known: hedgeDelay / 2, size: size, bound: 3 * time.Second}, false},
		"nothing arrives":              {awaitedConfig{known: hedgeDelay, size: size, bound: 3 * time.Second}, true},
		"half of it in a second":       {awaitedConfig{known: time.Second, received: part(size/2, time.Second), size: size, bound: 3 * time.Second}, false},
		"a tenth of it in a second":    {awaitedConfig{known: time.Second, received: part(size/10, time.Second), size: size, bound: 3 * time.Second}, true},
		"half of it after the bound":   {awaitedConfig{known: 4 * time.Second, received: part(size/2, time.Second), size: size, bound: 3 * time.Second}, true},
		"of unknown size":              {awaitedConfig{known: time.Second, received: part(10, time.Second), bound: 3 * time.Second}, false},
		"half of it after a long wait": {awaitedConfig{known: time.Second, received: transfer.Progress{Bytes: size / 2, First: 15 * time.Second, Lasted: 16 * time.Second}, size: size, bound: 3 * time.Second}, false},
		"without a bound":              {awaitedConfig{known: time.Hour, received: part(10, time.Second), size: size}, false},
	} {
		require.Equal(t, c.asks, c.awaited.needsPeer(), name)
	}
}

// Guards against a large configuration that is fetched from the few daemons that have it, while the store
// can be read, and against the list of upstreams waiting for it.
func TestLargeConfigurationIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRestoreSite(t, 1).daemons[0]
		m.configs.apply([]Entry{entry("config", "3")})
		m.readers[upstreamReader].recordRead(5, time.Now().Add(-time.Minute))
		m.readers[configReader].takeExpedited()
		view := &peerView{member: m}
		var requests []wire.ViewRequest
		view.request = func(_ context.Context, _ string, request wire.ViewRequest) (wire.Message, error) {
			requests = append(requests, request)
			return wire.ViewReply{}, nil
		}
		state := wire.MemberState{
			MemberAddress: wire.MemberAddress{Instance: "a", Peers: "a"}, Incarnation: 1, Seq: 1,
			ConfigVersion: 4, ConfigBytes: largeConfigBytes + 1, ListPosition: 7, ListDigest: 1,
		}
		m.peers.applyState(state)
		view.check(t.Context())
		require.True(t, m.readers[configReader].takeExpedited())
		require.Equal(t, []wire.ViewRequest{{ListOnly: true, ConfigVersion: 3}}, requests)

		m.readers[configReader].recordFailure(t.Context(), errStoreDown)
		view.check(t.Context())
		require.False(t, m.readers[configReader].takeExpedited())
		require.Equal(t, wire.ViewRequest{ConfigVersion: 3}, requests[len(requests)-1], "the store can't be read")

		small := state
		small.Seq, small.ConfigBytes = 2, largeConfigBytes
		m.readers[configReader].recordRead(1, time.Now())
		m.peers.applyState(small)
		view.check(t.Context())
		require.Equal(t, wire.ViewRequest{ConfigVersion: 3}, requests[len(requests)-1])
	})
}
