package patience

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against others who are blamed for a time in which this process stood still.
func TestAStandstillCountsAsOneBeat(t *testing.T) {
	require.Equal(t, beat, credit(beat))
	require.Equal(t, maxBeat, credit(3*time.Second))
	require.Zero(t, credit(-time.Second))
}

// Guards against waiting without end, and against a cause that hides the timeout.
func TestTimeoutOfARunningProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		require.Equal(t, 250*time.Millisecond, time.Since(began))
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}

// Guards against goroutines that outlive what they wait for: synctest fails if one is left.
func TestCancelEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := WithTimeout(t.Context(), time.Hour)
		cancel()
		<-ctx.Done()
		synctest.Wait()
		require.Zero(t, time.Since(began))
		require.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}
