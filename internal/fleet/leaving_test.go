package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var firstStart = time.UnixMilli(1_000_000)

func server(started time.Time) *Upstream {
	return &Upstream{ID: "s", Started: started, Pool: "app"}
}

func listOf(upstreams ...*Upstream) map[string]*Upstream {
	list := make(map[string]*Upstream)
	for _, u := range upstreams {
		list[u.ID] = u
	}
	return list
}

func (s *State) listedDraining(id string) bool { return s.Snapshot().Upstreams[id].Draining }

// Guards against an entry that takes back what a server has said itself: the entry is older,
// however often the list is read.
func TestEntryDoesNotTakeBackDraining(t *testing.T) {
	s := NewState()
	entry := server(firstStart)
	s.SetUpstreams(listOf(entry))
	changes := 0
	s.Watch(func(*Snapshot) { changes++ })
	require.True(t, s.MarkDraining(entry))
	require.False(t, s.MarkDraining(entry), "known already")
	require.Equal(t, 1, changes)
	require.True(t, s.listedDraining("s"))
	require.True(t, s.Snapshot().Pools["app"][0].Draining)
	require.False(t, entry.Draining, "the entry itself was changed")
	s.SetUpstreams(listOf(server(firstStart)))
	require.True(t, s.listedDraining("s"), "the list was read anew")
	s.SetUpstreams(listOf())
	s.SetUpstreams(listOf(server(firstStart)))
	require.True(t, s.listedDraining("s"), "the entry lapsed and came back")
	s.ApplyConfig(&Config{Version: 1})
	require.True(t, s.listedDraining("s"), "the configuration was changed")
}

// A server that starts again under its ID has said nothing, nor has any other server.
func TestOtherIncarnationsAreNotDraining(t *testing.T) {
	s := NewState()
	other := &Upstream{ID: "other", Started: firstStart, Pool: "app"}
	s.SetUpstreams(listOf(server(firstStart), other))
	require.True(t, s.MarkDraining(server(firstStart)))
	require.False(t, s.listedDraining("other"))
	restarted := server(firstStart.Add(time.Second))
	s.SetUpstreams(listOf(restarted, other))
	require.False(t, s.listedDraining("s"))
	require.False(t, s.MarkDraining(server(firstStart)), "late notice of the former incarnation")
	require.False(t, s.listedDraining("s"))
	require.True(t, s.MarkDraining(restarted))
	require.True(t, s.listedDraining("s"))
}

// A server whose entry says that it is draining stays so if a restored entry says that it is
// ready.
func TestWordOfServerKnownToBeDrainingIsKept(t *testing.T) {
	s := NewState()
	entry := server(firstStart)
	entry.Draining = true
	s.SetUpstreams(listOf(entry))
	require.False(t, s.MarkDraining(entry), "nothing has changed")
	s.SetUpstreams(listOf(server(firstStart)))
	require.True(t, s.listedDraining("s"))
}

// Incarnations that have said that they are draining are remembered as long as they may be
// listed, and no longer.
func TestDrainingIsRememberedWhileListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState()
		s.SetUpstreams(listOf(server(firstStart)))
		s.MarkDraining(server(firstStart))
		time.Sleep(2 * leavingRetention)
		s.SetUpstreams(listOf())
		time.Sleep(leavingRetention)
		s.SetUpstreams(listOf(server(firstStart)))
		require.True(t, s.listedDraining("s"))
		s.SetUpstreams(listOf())
		time.Sleep(leavingRetention + 1)
		s.SetUpstreams(listOf())
		require.Empty(t, s.leaving)
	})
}
