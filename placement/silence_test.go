package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an upstream that gets one request at a time after a silence, since it had asked for a
// backoff long before.
func TestUpstreamThatIsHeardIsProbedOnlyAfterABackoff(t *testing.T) {
	for name, c := range map[string]struct {
		backoff time.Duration
		want    string
	}{
		"a backoff that has ended":  {backoff: time.Second, want: "a"},
		"a backoff that isn't over": {backoff: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			r := newBackoffTracker(t, "a")
			r.BackOff("a", time.Time{}, time.Second)
			r.pass(2 * time.Second)
			r.Begin("a", Work{}).End(Done)
			r.pass(time.Second)
			silent := r.clock
			r.Begin("a", Work{})
			r.pass(time.Second)
			require.True(t, r.MarkSilent("a", silent))
			if c.backoff > time.Second {
				r.BackOff("a", time.Time{}, c.backoff)
			}
			require.Empty(t, r.pick())
			require.True(t, r.Heard("a"))
			require.Equal(t, c.want, r.pick())
			if c.want != "" {
				r.Begin("a", Work{})
				require.Equal(t, c.want, r.pick(), "all requests again")
			}
		})
	}
}
