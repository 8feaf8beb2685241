package pathwatch

import (
	"context"
	"fmt"
	"testing"
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
