package pathwatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/patience/standstilltest"
	"tamarackchute/reach"
)

// Guards against a path that counts as lost because this process stood still while it checked it: the
// answers wait, and whoever believes it sends no more requests here.
func TestStandstillDuringACheckLosesNoPath(t *testing.T) {
	got := standstilltest.Run(t, 3*checkTimeout, func(standStill func(), answer <-chan struct{}) string {
		w := New(Config{
			Pools: func() map[string][]string { return nil },
			Reaches: func(ctx context.Context, _ string, _ reach.CheckKind) bool {
				standStill()
				<-answer
				time.Sleep(checkTimeout / 10) // an answer isn't read at once
				return ctx.Err() == nil
			},
		})
		w.check(context.Background(), "pool", []string{"upstream"}, reach.CheckResponses)
		return fmt.Sprint("lost: ", w.IsLost("pool"))
	})
	require.Equal(t, "lost: false", got)
}

// Guards against a lost path that is noticed late, as a connection heeds only its own timeout.
func TestCheckEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Config{
			Pools: func() map[string][]string { return nil },
			Reaches: func(context.Context, string, reach.CheckKind) bool {
				time.Sleep(4 * checkTimeout)
				return false
			},
		})
		began := time.Now()
		w.check(t.Context(), "pool", []string{"a", "b"}, reach.CheckConnections)
		require.Equal(t, checkTimeout, time.Since(began))
		require.True(t, w.IsLost("pool"))
		time.Sleep(4 * checkTimeout) // the calls end by themselves
	})
}
