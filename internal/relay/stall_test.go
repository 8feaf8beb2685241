package relay

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/patience/standstilltest"
)

// watchdogWithBudget returns a watchdog of an attempt that may be retried.
func watchdogWithBudget() (context.Context, *stallWatchdog) {
	budget := NewRetryBudget(0.2, func() float64 { return 10 }, time.Second, nil)
	ctx, cancel := context.WithCancelCause(context.Background())
	return ctx, &stallWatchdog{call: &call{pool: "p", relay: &Relay{cfg: Config{RetryBudget: budget}}}, cancel: cancel, retryable: true, heardAt: time.Now()}
}

// Guards against attempts that are aborted, and upstreams that are ejected, all at once, as this process
// stood still while their answers came.
func TestAnswersThatCameInAStandstillAreNoStall(t *testing.T) {
	got := standstilltest.Run(t, 2*minStallTimeout, func(standStill func(), answer <-chan struct{}) string {
		ctx, w := watchdogWithBudget()
		w.arm(minStallTimeout)
		standStill()
		<-answer
		time.Sleep(10 * time.Millisecond) // an answer isn't read at once
		w.disarm()
		return fmt.Sprint("stalled: ", errors.Is(context.Cause(ctx), errStalled))
	})
	require.Equal(t, "stalled: false", got)
}

// Guards against an attempt that takes more than one retry from the budget: it isn't over at once when it
// was given up, as its caller may read slowly, and the next check finds its path lost again.
func TestAttemptThatIsGivenUpTakesOneRetry(t *testing.T) {
	ctx, w := watchdogWithBudget()
	w.heardAt = time.Now().Add(-time.Second)
	for range 3 {
		w.pathLost()
	}
	require.ErrorIs(t, context.Cause(ctx), errPathLost)
	require.EqualValues(t, 1, w.call.relay.cfg.RetryBudget.PoolState("p").Retries)
}
