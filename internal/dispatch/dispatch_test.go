package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestNext(t *testing.T) {
	cases := []struct {
		name      string
		policy    Policy
		attempts  int
		execution Execution
		costly    bool
		budget    bool
		want      Decision
	}{
		{"never, even unsent", Policy{Mode: RetryNever, MaxAttempts: 4}, 1, NotSent, false, true, NotRetryable},
		{"once, not sent", Policy{Mode: RetryIfNotRun, MaxAttempts: 1}, 0, NotSent, false, true, Retry},
		{"once, not run", Policy{Mode: RetryIfNotRun, MaxAttempts: 1}, 0, NotRun, true, true, Retry},
		{"once, not run, no budget", Policy{Mode: RetryIfNotRun, MaxAttempts: 1}, 0, NotRun, true, false, BudgetExhausted},
		{"once, may have run", Policy{Mode: RetryIfNotRun, MaxAttempts: 4}, 1, MayHaveRun, true, true, NotRetryable},
		{"repeatable", Policy{Mode: RetryAlways, MaxAttempts: 2}, 1, MayHaveRun, true, true, Retry},
		{"repeatable, used up", Policy{Mode: RetryAlways, MaxAttempts: 2}, 2, MayHaveRun, true, true, AttemptsExhausted},
		{"repeatable, used up, but not run", Policy{Mode: RetryAlways, MaxAttempts: 2}, 2, NotRun, true, true, Retry},
		{"all attempts count", Policy{Mode: RetryAlways, MaxAttempts: 2, CountNotRun: true}, 2, NotSent, false, true, AttemptsExhausted},
		{"no budget", Policy{Mode: RetryAlways, MaxAttempts: 2}, 1, MayHaveRun, true, false, BudgetExhausted},
		{"free retry without budget", Policy{Mode: RetryAlways, MaxAttempts: 2}, 1, NotSent, false, false, Retry},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.policy.AllowRetry = func() bool { return c.budget }
			state := New(c.policy)
			for range c.attempts {
				state.RecordAttempt()
			}
			require.Equal(t, c.want, state.Next(c.execution, c.costly))
		})
	}
}

// Whatever attempts fail in whichever way, a request that must not be repeated runs at
// most once, and no request runs more often than its rule allows.
func TestRunsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mode := rapid.SampledFrom([]RetryMode{RetryNever, RetryIfNotRun, RetryAlways}).Draw(t, "mode")
		maxAttempts := rapid.IntRange(1, 4).Draw(t, "maxAttempts")
		state := New(Policy{
			Mode: mode, MaxAttempts: maxAttempts, CountNotRun: rapid.Bool().Draw(t, "count"),
			AllowRetry: func() bool { return rapid.Bool().Draw(t, "allow") },
		})
		runs, sends := 0, 0
		for sends < 50 {
			sends++
			execution := rapid.SampledFrom([]Execution{NotSent, NotRun, MayHaveRun}).Draw(t, "execution")
			if execution == MayHaveRun {
				runs++
				state.RecordAttempt()
				state.RecordRun()
			}
			if state.Next(execution, execution != NotSent) != Retry {
				break
			}
		}
		if mode != RetryAlways {
			require.LessOrEqual(t, runs, 1)
		}
		if mode == RetryNever {
			require.Equal(t, 1, sends)
		}
		require.LessOrEqual(t, runs, maxAttempts)
		require.Equal(t, runs > 0, state.MayHaveRun())
	})
}
