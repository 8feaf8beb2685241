package enginemodel

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against observations with a number that no process can have observed, which would spoil the sums
// over all processes for good.
func TestOddObservationsAreIgnored(t *testing.T) {
	m := New()
	before := m.Parameters().PrefillMillis("", Prompt{Tokens: 1000})
	for _, odd := range []float64{math.Inf(1), math.NaN(), -1e300, 1e300} {
		s := newStats(2)
		s.Right[1] = odd
		require.False(t, m.Merge("a", Observations{Interval: s, Typical: 1}))
		require.False(t, m.Merge("a", Observations{Typical: 1, Events: odd}))
		require.False(t, m.Merge("a", Observations{Typical: 1, Responses: ResponseStats{Squares: odd}}))
		require.False(t, m.Merge("a", Observations{Typical: odd}))
	}
	require.Equal(t, before, m.Parameters().PrefillMillis("", Prompt{Tokens: 1000}))
	require.True(t, m.Merge("a", Observations{Typical: 1}))
}
