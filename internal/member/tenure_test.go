package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against duties that are done by nobody while renewals come late: each lapse made the holder
// wait anew, though nobody else had held the lease.
func TestLapsesDontRestartTheHoldersWait(t *testing.T) {
	const settle = 1500 * time.Millisecond
	start := time.Now()
	var held tenure
	require.Equal(t, tenureAcquired, held.hold(7, start))
	now := start
	for range 8 { // authority for 0.8 s, none for 0.2 s
		now = now.Add(800 * time.Millisecond)
		require.Equal(t, tenureUnchanged, held.hold(7, now))
		require.Equal(t, now.Sub(start), held.heldFor(now))
		require.Equal(t, tenureLapsed, held.lapse())
		require.Equal(t, tenureUnchanged, held.lapse())
		require.Zero(t, held.heldFor(now), "no orders without authority")
		now = now.Add(200 * time.Millisecond)
		require.Equal(t, tenureRegained, held.hold(7, now))
	}
	require.Greater(t, held.heldFor(now), settle)
}

// Guards against orders amid those of another holder, which gives its last one at the end of its term.
func TestAnotherTokenStartsTheHoldersWait(t *testing.T) {
	start := time.Now()
	var held tenure
	held.hold(7, start)
	held.lapse()
	later := start.Add(time.Minute)
	require.Equal(t, tenureAcquired, held.hold(9, later))
	require.Zero(t, held.heldFor(later))
	require.Equal(t, time.Second, held.heldFor(later.Add(time.Second)))
}
