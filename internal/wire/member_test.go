package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/placement"
)

// Two fields of a state went under one name: every state that named an engine
// that changes broke its connection, daemons fell silent to each other, and one
// that was cut off from the store served by an old configuration.
func TestMemberMessagesRoundTrip(t *testing.T) {
	at := placement.KeyOf("e", time.Time{})
	loads := []placement.UpstreamLoad{{Upstream: at, Load: placement.Load{Running: 1, LongStreams: 2, PrefillSent: 3, EventTime: 4, ExpectedEventTime: 5}}}
	reads := []placement.PrefillEvent{{Engine: at, State: placement.PrefillFinished, LastShared: placement.Part{ID: 1 << 63, Tokens: 7}, UnsharedTokens: 9}}
	address := MemberAddress{Instance: "n", DataCentre: "d", Callers: "c", Peers: "p", Capacity: 4}
	for _, m := range []Message{
		MemberState{
			MemberAddress: address, Incarnation: 1, Seq: 2, Serving: true, Config: 3,
			ListPosition: 4, ListDigest: 5, ListSize: 6, ListAge: time.Second, Loads: loads,
			Prefills:    []placement.PrefillEvent{{Engine: at, LastShared: placement.Part{ID: 6, Tokens: 7}}},
			Demands:     map[string]MemberDemand{"pool": {PrefillEngines: 8}},
			Unavailable: []UnavailableEngine{{Engine: at, TargetRole: "prefill", Remaining: time.Minute}},
			KnownPeers:  []MemberAddress{address},
		},
		MemberLoads{Incarnation: 1, Seq: 2, Loads: loads, Prefills: []placement.PrefillEvent{{Engine: at, LastShared: placement.Part{ID: 6, Tokens: 7}}}},
		ViewRequest{},
		ViewRequest{ConfigOnly: true},
		ViewReply{Config: []byte("c"), Upstreams: map[string][]byte{"u": []byte("x")}, Position: 1, Age: 2},
		LoadReport{
			PeerAddress: "p", Full: true, Loads: loads, Daemons: 3, Depth: 2, NoReply: true,
			Unavailable: []UnavailableEngine{{Engine: at, TargetRole: "prefill", Remaining: time.Minute}}, Prefills: reads,
			Demands: map[string]MemberDemand{"pool": {PrefillEngines: 8}},
		},
		LoadReport{PeerAddress: "p", Loads: UpstreamLoads{}, Prefills: PrefillEvents{}},
		LoadTotals{
			Full: true, Loads: loads, Daemons: 2, Config: 3, ListPosition: 4, ListDigest: 5, ListSize: 7, ListAge: 6,
			Unavailable: []UnavailableEngine{{Engine: at, Remaining: time.Second}}, Prefills: reads,
		},
	} {
		body, err := encode(m)
		require.NoError(t, err)
		got, err := decode(m.Kind(), body)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
}
