package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/placement"
)

// Guards against fields of a message that share one encoded name. The message can't be
// decoded and breaks its connection, so that daemons don't receive each other's states,
// and a daemon without access to the store keeps serving by an old configuration.
func TestMemberMessagesRoundTrip(t *testing.T) {
	at := placement.KeyOf("e", time.Time{})
	loads := []placement.UpstreamLoad{{Upstream: at, Load: placement.Load{Running: 1, LongStreams: 2, PrefillSent: 3, EventTime: 4, ExpectedEventTime: 5}}}
	prefills := []placement.PrefillEvent{{Engine: at, State: placement.PrefillFinished, LastShared: placement.Part{ID: 1 << 63, Tokens: 7}, UnsharedTokens: 9}}
	address := MemberAddress{Instance: "n", DataCentre: "d", Callers: "c", Peers: "p", Capacity: 4}
	for _, m := range []Message{
		MemberState{
			MemberAddress: address, Incarnation: 1, Seq: 2, Serving: true, ConfigVersion: 3,
			ListPosition: 4, ListDigest: 5, ListSize: 6, ListAge: time.Second, Loads: loads,
			Prefills:    []placement.PrefillEvent{{Engine: at, LastShared: placement.Part{ID: 6, Tokens: 7}}},
			Demands:     map[string]MemberDemand{"pool": {PrefillEngines: 8}},
			Unavailable: []UnavailableEngine{{Engine: at, TargetRole: "prefill", Remaining: time.Minute}},
			KnownPeers:  []MemberAddress{address},
		},
		MemberLoads{Incarnation: 1, Seq: 2, Loads: loads, Prefills: []placement.PrefillEvent{{Engine: at, LastShared: placement.Part{ID: 6, Tokens: 7}}}},
		ViewRequest{},
		ViewRequest{ConfigOnly: true, ConfigVersion: 17},
		ViewReply{Config: []byte("c"), Upstreams: map[string][]byte{"u": []byte("x")}, Position: 1, Age: 2},
		LoadReport{
			PeerAddress: "p", Full: true, Loads: loads, Daemons: 3, Depth: 2, NoReply: true,
			Unavailable: []UnavailableEngine{{Engine: at, TargetRole: "prefill", Remaining: time.Minute}}, Prefills: prefills,
			Demands: map[string]MemberDemand{"pool": {PrefillEngines: 8}},
		},
		LoadReport{PeerAddress: "p", Loads: UpstreamLoads{}, Prefills: PrefillEvents{}},
		LoadTotals{
			Full: true, Loads: loads, Daemons: 2, ConfigVersion: 3, ListPosition: 4, ListDigest: 5, ListSize: 7, ListAge: 6,
			Unavailable: []UnavailableEngine{{Engine: at, Remaining: time.Second}}, Prefills: prefills,
		},
	} {
		body, err := encode(m)
		require.NoError(t, err)
		got, err := decode(m.Kind(), body)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
}
