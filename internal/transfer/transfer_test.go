package transfer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var limits = Limits{First: 3 * time.Second, Idle: time.Second, Total: 10 * time.Second}

// Guards against a transfer that is given up although bytes arrive.
func TestTransferGoesOnWhileBytesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, transfer := Begin(t.Context(), limits)
		defer transfer.End()
		time.Sleep(2 * time.Second)
		for range 8 {
			Of(ctx).Received(100)
			time.Sleep(900 * time.Millisecond)
			require.NoError(t, ctx.Err())
		}
		p := transfer.Progress()
		require.Equal(t, 800, p.Bytes)
		require.Equal(t, 2*time.Second, p.First)
	})
}

// Guards against a transfer that hangs, at each of its stages, and against one that never ends.
func TestTransferEndsByEachLimit(t *testing.T) {
	for name, c := range map[string]struct {
		receive []time.Duration // the times between the bytes
		after   time.Duration
	}{
		"no byte":      {nil, 3 * time.Second},
		"stalls":       {[]time.Duration{time.Second, 500 * time.Millisecond}, 2500 * time.Millisecond},
		"without end":  {repeat(900*time.Millisecond, 20), 10 * time.Second},
		"late at once": {[]time.Duration{2900 * time.Millisecond}, 3900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, transfer := Begin(t.Context(), limits)
				defer transfer.End()
				var received sync.WaitGroup
				received.Go(func() {
					for _, wait := range c.receive {
						time.Sleep(wait)
						transfer.Received(1)
					}
				})
				<-ctx.Done()
				require.Equal(t, c.after, time.Since(began))
				received.Wait()
				var limit *LimitError
				require.ErrorAs(t, transfer.Error(ctx.Err()), &limit)
				require.NotErrorIs(t, transfer.Error(ctx.Err()), context.Canceled, "it would pass for the caller's end")
			})
		})
	}
}

// Guards against a caller's own end that passes for a limit's.
func TestCallerEndsATransfer(t *testing.T) {
	parent, cancel := context.WithCancel(t.Context())
	ctx, transfer := Begin(parent, limits)
	defer transfer.End()
	cancel()
	<-ctx.Done()
	require.ErrorIs(t, transfer.Error(ctx.Err()), context.Canceled)
	require.NoError(t, transfer.Error(nil))
	Of(context.Background()).Received(1) // no transfer
}

func repeat(d time.Duration, n int) []time.Duration {
	all := make([]time.Duration, n)
	for i := range all {
		all[i] = d
	}
	return all
}
