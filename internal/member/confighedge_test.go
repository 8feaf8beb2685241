package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/wire"
)

// Guards against a newer configuration that is held back by the peer asked for it, which is frozen or
// cut off, while others have it.
func TestFrozenPeersDontHoldConfigurationBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRestoreSite(t, 1).daemons[0]
		m.configs.apply([]Entry{entry("config", "3")})
		frozen := map[string]bool{"a": true, "b": true}
		for i, name := range []string{"a", "b", "c"} {
			m.peers.applyState(wire.MemberState{MemberAddress: wire.MemberAddress{Instance: name, Peers: name}, Incarnation: uint64(i + 1), Seq: 1, ConfigVersion: 4})
		}
		asked := make(map[string]int)
		hedge := newConfigHedge(m)
		hedge.request = func(ctx context.Context, peer string, request wire.ViewRequest) (wire.Message, error) {
			require.True(t, request.ConfigOnly)
			asked[peer]++
			if frozen[peer] {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return wire.ViewReply{Config: []byte("4")}, nil
		}
		begin := time.Now()
		hedge.check(t.Context(), time.Now())
		hedge.check(t.Context(), time.Now())
		require.Empty(t, asked, "the store or the first peer may still bring it")
		for m.summary().Config != 4 && time.Since(begin) < time.Minute {
			time.Sleep(viewInterval)
			for i, name := range []string{"a", "b", "c"} { // they are heard, or have been a moment ago
				m.peers.applyState(wire.MemberState{MemberAddress: wire.MemberAddress{Instance: name, Peers: name}, Incarnation: uint64(i + 1), Seq: uint64(2 + time.Since(begin)), ConfigVersion: 4})
			}
			hedge.check(t.Context(), time.Now())
		}
		require.EqualValues(t, 4, m.summary().Config)
		require.LessOrEqual(t, time.Since(begin), hedgeDelay+2*hedgeTimeout+4*viewInterval)
		for name, times := range asked {
			require.Equal(t, 1, times, name)
		}
	})
}

// Guards against a peer whose document can't be decoded here, and that is asked for it ten times a
// second.
func TestPeerWithAnUnreadableDocumentIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRestoreSite(t, 1).daemons[0]
		m.configs.apply([]Entry{entry("config", "3")})
		asked := 0
		hedge := newConfigHedge(m)
		hedge.request = func(context.Context, string, wire.ViewRequest) (wire.Message, error) {
			asked++
			return wire.ViewReply{Config: []byte("unreadable")}, nil
		}
		for i := range 50 {
			m.peers.applyState(wire.MemberState{MemberAddress: wire.MemberAddress{Instance: "a", Peers: "a"}, Incarnation: 1, Seq: uint64(1 + i), ConfigVersion: 4})
			hedge.check(t.Context(), time.Now())
			time.Sleep(viewInterval)
		}
		require.EqualValues(t, 3, m.summary().Config)
		require.LessOrEqual(t, asked, 2)
	})
}
