package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/wire"
)

// stoppedClock is a clock that tests set.
type stoppedClock struct{ elapsed time.Duration }

func (c *stoppedClock) now() time.Duration { return c.elapsed }

// Guards against a standstill that nobody notices before the timers have run.
func TestStandstillIsNoticed(t *testing.T) {
	clock := &stoppedClock{elapsed: time.Hour}
	b := &beat{elapsed: clock.now, last: clock.elapsed}
	before := time.Now()
	clock.elapsed += maxBeatGap
	require.True(t, b.unbroken(before))
	require.Zero(t, b.tick(before))
	clock.elapsed += maxBeatGap + time.Millisecond
	require.False(t, b.unbroken(before), "before the next beat too")
	resumed := before.Add(time.Second)
	require.Equal(t, maxBeatGap+time.Millisecond, b.tick(resumed))
	require.False(t, b.unbroken(before))
	require.True(t, b.unbroken(resumed))
	require.Equal(t, resumed, b.resumedAt())
}

// Guards against a daemon that blames its peers for a silence in which it stood still itself, and against one
// that takes what they said before for what they say now.
func TestPeersAreNotBlamedForAStandstill(t *testing.T) {
	clock := &stoppedClock{elapsed: time.Hour}
	a, b := newPeersHarness("a"), newPeersHarness("b")
	a.beat = &beat{elapsed: clock.now, last: clock.elapsed}
	a.onPeerList = func(Position, uint64, time.Duration) {}
	a.Handle("", b.heartbeatState(time.Now()), nil)
	a.peers["b"].link = wire.NewLink(wire.Config{}, "b", nil, discardLogger)
	require.True(t, a.HearsAll())
	clock.elapsed += 5 * time.Second
	require.False(t, a.HearsAll(), "it has heard nothing since it went on")
	later := time.Now().Add(5 * time.Second)
	a.checkSilence(later)
	require.Len(t, a.Serving(), 1, "its peers had no chance to be heard")
	require.False(t, a.HearsAll())
	clock.elapsed += peerTimeout + time.Millisecond - maxBeatGap/2
	a.checkSilence(later.Add(maxBeatGap / 2))
	clock.elapsed += maxBeatGap / 2
	a.checkSilence(later.Add(peerTimeout + time.Millisecond))
	require.Empty(t, a.Serving(), "they are silent")
}
