package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// Guards against a decision that fails on an engine that an earlier one considered and whose limit
// allows no request now, and against one that chooses that engine.
func TestLimitedEnginesAreLeftOut(t *testing.T) {
	tr := NewTracker(nil)
	limited := map[string]bool{}
	tr.SetLimits(func(id string, _ time.Time) time.Duration {
		if limited[id] {
			return time.Second
		}
		return 0
	})
	tr.Sync([]Member{
		{ID: "a", Pool: "llm", Role: upstream.RoleDecode, Slots: 4, KVTokens: 1 << 20},
		{ID: "b", Pool: "llm", Role: upstream.RoleDecode, Slots: 4, KVTokens: 1 << 20},
		{ID: "c", Pool: "llm", Role: upstream.RoleDecode, Slots: 4, KVTokens: 1 << 20},
	})
	r := Request{PromptTokens: 100, OutputTokens: 10}
	_, ok := tr.Pick("llm", r)
	require.True(t, ok)
	limited["a"], limited["c"] = true, true
	plan, ok := tr.Pick("llm", r)
	require.True(t, ok)
	require.Equal(t, "b", plan.Engine)
	limited["b"] = true
	_, ok = tr.Pick("llm", r)
	require.False(t, ok)
	require.Len(t, tr.Engines([]string{"a", "b", "c"}), 3, "they count as available otherwise")
}
