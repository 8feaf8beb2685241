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

// Guards against waits that end early or late in a process that runs.
func TestAfterFuncOfARunningProcess(t *testing.T) {
	for _, d := range []time.Duration{beat, settleTime, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			began, called := time.Now(), make(chan time.Time, 1)
			AfterFunc(d, func() { called <- time.Now() })
			require.Equal(t, d, (<-called).Sub(began))
		})
	}
}

// Guards against timeouts that fire after they were stopped, also in their last moment.
func TestAfterFuncIsStopped(t *testing.T) {
	for _, at := range []time.Duration{0, time.Second - settleTime/2} {
		synctest.Test(t, func(t *testing.T) {
			stop := AfterFunc(time.Second, func() { t.Error("fired") })
			time.Sleep(at)
			stop()
			time.Sleep(time.Minute)
		})
	}
}
