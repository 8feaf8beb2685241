package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/wire"
	"tamarackchute/placement"
	"tamarackchute/upstreamlimit"
)

// Guards against a state that counts as new though it waited on its way: a list, a clock and an
// engine's rest that are as old as the wait would hold as of now.
func TestAgesInALateStateCountFromItsSending(t *testing.T) {
	p := peersWith(nil)
	now := time.Hour
	p.beat.elapsed = func() time.Duration { return now }
	var listAge time.Duration
	var clock time.Time
	p.onPeerList = func(_ Position, _ uint64, age time.Duration) { listAge = age }
	p.onClock = func(_ string, c time.Time) { clock = c }
	p.onUpdate = func() {}
	written := time.Unix(1000, 0)
	p.tracker.Sync([]placement.Member{{ID: "over", Pool: "p", Slots: 1}, {ID: "rests", Pool: "p", Slots: 1}})
	state := wire.MemberState{
		MemberAddress: wire.MemberAddress{Instance: "d2", Peers: "d2"}, Incarnation: 1, Seq: 1,
		SentAt: 5 * time.Minute, Clock: written.UnixNano(), ListAge: 100 * time.Millisecond,
	}
	p.applyState(state)
	require.Equal(t, 100*time.Millisecond, listAge, "punctual")
	require.Equal(t, written, clock)

	const wait = 3 * time.Second
	now += time.Second + wait
	state.Seq, state.SentAt, state.Clock = 2, state.SentAt+time.Second, written.Add(time.Second).UnixNano()
	state.Unavailable = []wire.UnavailableEngine{
		{Engine: p.tracker.KeyOf("over"), Remaining: wait - time.Second}, {Engine: p.tracker.KeyOf("rests"), Remaining: wait + time.Minute},
	}
	p.applyState(state)
	require.Equal(t, 100*time.Millisecond+wait, listAge)
	require.Equal(t, written.Add(time.Second+wait), clock)
	require.Equal(t, 100*time.Millisecond+wait, p.peers["d2"].summary.ListAge)
	excluded := p.tracker.PoolUse("p", 10).Excluded
	require.Len(t, excluded, 1)
	require.Equal(t, "rests", excluded[0].ID)
	require.LessOrEqual(t, excluded[0].Left, time.Minute)
}

// Guards against a limit in force that ends by another daemon's report which waited on its way, and
// tells of an earlier end as of a new one.
func TestLateReportDoesNotEndALimit(t *testing.T) {
	p := peersWith(nil)
	p.onUpdate = func() {}
	began := time.Unix(1000, 0)
	elapsed := time.Duration(0)
	p.beat.elapsed = func() time.Duration { return elapsed }
	x := &limitExchange{book: upstreamlimit.NewBook(func() time.Time { return began.Add(elapsed) }), peers: p, log: p.log}
	key := upstreamlimit.Upstream{ID: "s1", Started: 1}
	ended := wire.UpstreamLimit{
		ID: "s1", Started: 1, PerSecond: 5, NamedSentAge: 2 * time.Second, NamedAge: 2 * time.Second,
		Denied: true, DeniedAge: 200 * time.Millisecond,
	}
	report := func(sentAt time.Duration) wire.UpstreamLimits {
		return wire.UpstreamLimits{Limits: []wire.UpstreamLimit{ended}, Incarnation: 1, SentAt: time.Hour + sentAt}
	}
	elapsed = time.Second
	x.merge(report(elapsed))
	elapsed = 4 * time.Second
	x.book.Observe(key, upstreamlimit.Statement{PerSecond: 7, Limited: true, SentAt: began.Add(elapsed - time.Millisecond), ReceivedAt: began.Add(elapsed)})
	elapsed = 5 * time.Second
	x.merge(report(2 * time.Second))
	perSecond, limited := x.book.Limit(key)
	require.True(t, limited)
	require.InDelta(t, 7, perSecond, 0)

	x.merge(report(elapsed))
	elapsed = 6 * time.Second
	x.merge(report(elapsed))
	_, limited = x.book.Limit(key)
	require.False(t, limited, "a punctual report ends it")
}
