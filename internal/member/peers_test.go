package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/enginemodel"
	"tamarackchute/internal/wire"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

// peersRig is a daemon's exchange with books of one engine, and no links.
type peersRig struct {
	*Peers
	books *placement.Tracker
	about Summary
}

func newPeersRig(address string) *peersRig {
	return newPeersRigOf(wire.MemberAddress{Instance: address, Peers: address}, wire.Config{})
}

func newPeersRigOf(self wire.MemberAddress, cfg wire.Config) *peersRig {
	r := &peersRig{books: placement.NewTracker(nil), about: Summary{Serving: true, Config: 1, ListPosition: 2, ListDigest: 3}}
	r.books.Sync([]placement.Member{{ID: "e", DataCentre: "d", Role: upstream.RoleDecode, Slots: 4, KVTokens: 1000}})
	r.Peers = newPeers(self, cfg, r.books, quiet)
	r.Peers.about = func() Summary { return r.about }
	r.Peers.demand = func() map[string]wire.MemberDemand { return nil }
	r.Peers.change = func() {}
	r.Peers.waiting = func() bool { return false }
	r.Peers.sameList = func(Position, uint64, time.Duration) {}
	return r
}

func (r *peersRig) running() int { return r.books.Engines([]string{"e"})[0].Running }

// Between two beats only the loads go out; but a new configuration, list or
// reading is told at once, or peers would read the store for themselves.
func TestOnlyLoadsAreToldBetweenBeats(t *testing.T) {
	r := newPeersRig("a")
	now := time.Now()
	require.Nil(t, r.changes(now), "nothing has changed")
	r.state(now)

	r.books.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	loads, ok := r.changes(now).(wire.MemberLoads)
	require.True(t, ok)
	require.Len(t, loads.Loads, 1)
	require.Nil(t, r.changes(now))

	for _, change := range []func(){
		func() { r.about.Config++ },
		func() { r.about.ListPosition++ },
		func() { r.about.ListDigest++ },
		func() { r.about.Serving = false },
	} {
		change()
		r.books.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
		require.IsType(t, wire.MemberState{}, r.changes(now))
	}

	// The list has grown older by as much as has passed: nothing new.
	now = now.Add(time.Second)
	r.about.ListAge = time.Second
	r.books.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	require.IsType(t, wire.MemberLoads{}, r.changes(now))
	r.about.ListAge = 0 // read just now
	r.books.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	require.IsType(t, wire.MemberState{}, r.changes(now))
}

// A peer's loads are booked once its state has told whose they are; those of its
// former process, or overtaken ones, are not.
func TestLoadsOfAPeer(t *testing.T) {
	a, b := newPeersRig("a"), newPeersRig("b")
	now := time.Now()
	a.books.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	a.state(now) // lost on the way
	a.books.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	early := a.changes(now)
	b.Handle("", early, nil)
	require.Zero(t, b.running(), "whose are they?")

	b.Handle("", a.state(now), nil)
	require.Equal(t, 2, b.running())
	a.books.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 10}})
	later := a.changes(now)
	b.Handle("", later, nil)
	require.Equal(t, 3, b.running())
	b.Handle("", early, nil)
	require.Equal(t, 3, b.running(), "overtaken")

	restarted := newPeersRig("a")
	b.Handle("", restarted.state(now), nil)
	require.Zero(t, b.running())
	b.Handle("", later, nil)
	require.Zero(t, b.running(), "of the former process")
}

// In a site of hundreds of daemons a server leaves, and the daemon that has read it
// first says so. If all others took its whole list, its link would be full for
// seconds, and the server would get new requests meanwhile.
func TestLargeListsComeFromTheStore(t *testing.T) {
	small, large := Summary{ListSize: largeList, Config: 2}, Summary{ListSize: largeList + 1, Config: 2}
	own := Summary{Config: 2}
	require.Equal(t, source{whole: true}, sourceOf(own, small, false))
	require.Equal(t, source{store: true}, sourceOf(own, large, false))
	require.Equal(t, source{whole: true}, sourceOf(own, large, true), "the store can't be read")
	require.Equal(t, source{config: true, store: true}, sourceOf(Summary{Config: 1}, large, false))
}

// A reader that rests for long must read at once when a peer says that there is
// something new.
func TestHurriedReaderDoesNotRest(t *testing.T) {
	r := &topicReader{backoff: newBackoff(alone), every: time.Hour, readAt: time.Now()}
	require.Positive(t, r.hold())
	go r.hurry()
	r.rest(t.Context(), time.Hour)
	require.Zero(t, r.hold())
	require.Positive(t, r.hold(), "one read only")
}
