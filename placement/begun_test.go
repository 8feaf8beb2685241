package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// Guards against a stream that has begun and finds no place, though slots are free that are kept for short responses.
func TestBegunStreamUsesSlotsOfShortResponses(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := NewTracker(func() time.Time { return now })
	tr.Sync([]Member{{ID: "e", Pool: "p", Role: upstream.RoleDecode, Slots: 8}})
	long := Request{PromptTokens: 10, OutputTokens: 10_000, Objective: 10 * time.Millisecond}
	for range LongSlots(8) {
		tr.Begin("e", Work{LongStream: true})
	}
	_, ok := tr.Pick("p", long)
	require.False(t, ok)
	long.Begun = true
	_, ok = tr.Pick("p", long)
	require.True(t, ok)
	for range 8 - LongSlots(8) {
		tr.Begin("e", Work{LongStream: true})
	}
	_, ok = tr.Pick("p", long)
	require.False(t, ok, "all slots are taken")
}
