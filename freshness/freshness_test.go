package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const bound = 5 * time.Second

// Guards against a document that is relied on although nobody knows whether it still holds.
func TestRelianceNeedsARecentProof(t *testing.T) {
	var f Tracker
	limit := NewLimit(bound)
	allowed := func(now time.Duration) bool { return limit.Allows(f.Age(now)) }
	require.False(t, allowed(0), "there is no proof")
	require.True(t, f.Record(Proof{Version: 3, SentAt: time.Second}, 3))
	require.True(t, allowed(5*time.Second))
	require.False(t, allowed(6*time.Second), "the bound has passed")
	require.False(t, f.Record(Proof{Version: 3, SentAt: time.Second / 2}, 3), "an older proof")
	require.False(t, f.Record(Proof{Version: 4, SentAt: 2 * time.Second}, 3), "the version in force isn't the newest")
	require.True(t, f.Record(Proof{Version: 2, SentAt: 2 * time.Second}, 3), "a newer version in force was published later")
	require.True(t, allowed(6*time.Second))
	require.True(t, NewLimit(0).Allows(Unproven), "there is no bound")
}

// Guards against a restored store, whose older configuration would prove that a newer one holds.
func TestProofsOfARestoredStoreAreRejected(t *testing.T) {
	var f Tracker
	require.True(t, f.Record(Proof{Version: 3, SentAt: time.Second}, 3))
	f.RejectBefore(4 * time.Second)
	require.False(t, f.Record(Proof{Version: 3, SentAt: 3 * time.Second}, 3))
	require.Equal(t, time.Second, f.Age(2*time.Second), "the proof from before the restore holds")
	require.True(t, f.Record(Proof{Version: 3, SentAt: 4 * time.Second}, 3))
}

// The daemon that reads for the others does so often, the others ask it, and each has tried all
// sources before its proof is too old.
func TestSearchUsesEverySourceInTime(t *testing.T) {
	search := Search{Limit: NewLimit(bound), Shares: KeyShares, Spread: 1}
	first := Search{Limit: NewLimit(bound), Shares: KeyShares}
	var sources [3]time.Duration
	for age := time.Duration(0); age < bound; age += 50 * time.Millisecond {
		step := search.Next(age, age, false)
		for i, seen := range []bool{step.Read, step.Ask, step.AskAny} {
			if seen && sources[i] == 0 {
				sources[i] = age
			}
		}
		if age >= 400*time.Millisecond && age < 450*time.Millisecond {
			require.True(t, first.Next(age, age, true).Read)
		}
	}
	read, ask, any := sources[0], sources[1], sources[2]
	require.Less(t, ask, read)
	require.Less(t, read, any)
	require.Less(t, any, bound/2)
	require.NotZero(t, ask)
}

// Guards against a search that floods a source that doesn't answer.
func TestSearchRepeatsAtIntervals(t *testing.T) {
	search := Search{Limit: NewLimit(bound), Shares: KeyShares}
	reads := 0
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		if search.Next(bound+now, bound+now, true).Read {
			reads++
		}
	}
	require.LessOrEqual(t, reads, 4)
}

// Guards against a version that is named once and counts for ever, though a restore has undone it.
func TestNamedVersionsExpire(t *testing.T) {
	var n Named
	newest := func(now time.Duration) uint64 {
		version, _ := n.Newest(now)
		return version
	}
	require.Zero(t, newest(time.Hour))
	n.Record(7, "a", time.Hour)
	n.Record(6, "b", time.Hour+time.Second)
	require.EqualValues(t, 7, newest(time.Hour+time.Second))
	require.Zero(t, newest(time.Hour+2*nameTimeout))
	n.Record(6, "b", time.Hour+2*nameTimeout)
	require.EqualValues(t, 6, newest(time.Hour+2*nameTimeout))
}

// Guards against a process that is never behind as versions follow each other faster than it gets them,
// and against one that is behind for ever as a version was withdrawn by a restore.
func TestHowLongAProcessIsBehind(t *testing.T) {
	var n Named
	require.Zero(t, n.Behind(1, time.Hour))
	n.Record(1, "a", time.Hour)
	require.Zero(t, n.Behind(1, time.Hour))
	at := time.Hour
	for version := uint64(2); version < 100; version++ {
		at += 100 * time.Millisecond
		n.Record(version, "a", at)
		n.Record(version-1, "b", at)
		require.NotZero(t, n.Behind(1, at+1))
	}
	require.Equal(t, at-time.Hour-100*time.Millisecond, n.Behind(1, at), "since version 2")
	require.Equal(t, 100*time.Millisecond, n.Behind(97, at), "since version 98")
	require.Zero(t, n.Behind(99, at))
	n.Record(100, "a", at+time.Second)
	require.Equal(t, time.Second, n.Behind(99, at+2*time.Second))
	require.Zero(t, n.Behind(99, at+time.Second+2*nameTimeout))
	n.Record(50, "a", at+time.Second+2*nameTimeout)
	require.Zero(t, n.Behind(50, at+time.Second+2*nameTimeout))
}

// Guards against a request that is run by a version which has long been replaced elsewhere, and against a
// process out of touch that stops serving.
func TestWhenAVersionIsOverdue(t *testing.T) {
	limit := NewLimit(bound)
	for name, c := range map[string]struct {
		standing Standing
		overdue  bool
	}{
		"the newest":                 {Standing{Version: 3, Newest: 3, Limit: limit}, false},
		"just replaced":              {Standing{Version: 3, Newest: 4, Behind: bound / 4, Limit: limit}, false},
		"replaced long ago":          {Standing{Version: 3, Newest: 4, Behind: bound / 2, Limit: limit}, true},
		"no limit":                   {Standing{Version: 3, Newest: 4, Behind: bound}, false},
		"out of touch, not proven":   {Standing{Version: 3, Age: Unproven, Limit: limit}, false},
		"others are older than it":   {Standing{Version: 3, Newest: 2, Limit: limit}, false},
		"behind, but nobody says so": {Standing{Version: 3, Behind: bound, Limit: limit}, false},
	} {
		require.Equal(t, c.overdue, c.standing.Overdue(), name)
	}
}

// Guards against a request that is refused for good by an outdated version, and against one that no
// longer is although the version is known to be the newest.
func TestWhoMayDeny(t *testing.T) {
	limit := NewLimit(bound)
	for name, c := range map[string]struct {
		standing Standing
		may      bool
	}{
		"proven":              {Standing{Version: 3, Age: bound / 2, Limit: limit}, true},
		"proven too long ago": {Standing{Version: 3, Age: bound, Limit: limit}, false},
		"never proven":        {Standing{Version: 3, Age: Unproven, Limit: limit}, false},
		"no limit":            {Standing{Version: 3, Age: Unproven}, true},
		"others are older":    {Standing{Version: 3, Newest: 2, Age: bound / 2, Limit: limit}, true},
		"another is newer":    {Standing{Version: 3, Newest: 4, Limit: limit}, false},
	} {
		require.Equal(t, c.may, c.standing.MayDeny(), name)
	}
}
