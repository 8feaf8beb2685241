package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// Covers that each engine at which a request isn't placed counts once, for the first reason.
func TestRejections(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := NewTracker(func() time.Time { return now })
	tr.Sync([]Member{
		{ID: "other", Pool: "p", Role: upstream.RoleDecode, Slots: 4},
		{ID: "full", Pool: "p", Role: upstream.RoleDecode, Slots: 1},
		{ID: "prefill", Pool: "p", Role: upstream.RolePrefill, Slots: 4},
	})
	r := Request{PromptTokens: 10, OutputTokens: 4, Exclude: []string{"other"}}
	require.Equal(t, Rejections{Excluded: 1}, tr.Rejections("p", r))
	tr.Begin("full", Work{})
	require.Equal(t, Rejections{Excluded: 1, Full: 1, Undecodable: 1}, tr.Rejections("p", r))
	_, ok := tr.Pick("p", r)
	require.False(t, ok)
	require.Zero(t, tr.Rejections("none", r))
}
