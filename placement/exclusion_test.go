package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a refused request whose log doesn't tell which upstreams were excluded and why.
func TestPoolUseNamesEachExclusion(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := NewTracker(func() time.Time { return now })
	tr.SetLimits(func(id string, _ time.Time) time.Duration {
		if id == "limited" {
			return 3 * time.Second
		}
		return 0
	})
	var members []Member
	for _, id := range []string{"backoff", "ejected", "full", "limited", "probing", "unavailable", "usable"} {
		members = append(members, Member{ID: id, Pool: "app", Slots: 1})
	}
	tr.Sync(members)
	tr.BackOff("backoff", time.Time{}, 2*time.Second)
	tr.MarkUnavailable(tr.KeyOf("unavailable"), "", time.Second)
	for range unreachableLimit {
		tr.Begin("probing", Work{}).End(Unreachable)
	}
	now = now.Add(baseEjection)
	tr.Begin("probing", Work{})
	tr.Begin("full", Work{})
	for range unreachableLimit {
		tr.Begin("ejected", Work{}).End(Unreachable)
	}
	now = now.Add(100 * time.Millisecond)
	use := tr.PoolUse("app", 10)
	require.Equal(t, 2, use.Usable)
	require.Equal(t, 1, use.Full)
	require.Equal(t, []Exclusion{
		{ID: "backoff", Reason: ExcludedBackoff, Left: 1400 * time.Millisecond},
		{ID: "ejected", Reason: ExcludedEjected, Since: 100 * time.Millisecond, Left: 400 * time.Millisecond},
		{ID: "limited", Reason: ExcludedLimit, Left: 3 * time.Second},
		{ID: "probing", Reason: ExcludedProbing, Since: 600 * time.Millisecond},
		{ID: "unavailable", Reason: ExcludedUnavailable, Left: 400 * time.Millisecond},
	}, use.Excluded)
	require.Len(t, tr.PoolUse("app", 2).Excluded, 2, "the list is bounded")
	require.Equal(t, "ejected ejected since_ms=100 left_ms=400", use.Excluded[1].String())
}
