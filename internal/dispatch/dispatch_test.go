package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestNext(t *testing.T) {
	cases := []struct {
		name     string
		policy   Policy
		attempts int
		fate     Fate
		costly   bool
		budget   bool
		want     Verdict
	}{
		{"never, even unsent", Policy{Repeat: Never, MaxAttempts: 4}, 1, NotSent, false, true, NoRepeat},
		{"once, not sent", Policy{Repeat: Unsent, MaxAttempts: 1}, 0, NotSent, false, true, Again},
		{"once, not run", Policy{Repeat: Unsent, MaxAttempts: 1}, 0, NotRun, true, true, Again},
		{"once, not run, no budget", Policy{Repeat: Unsent, MaxAttempts: 1}, 0, NotRun, true, false, NoBudget},
		{"once, may have run", Policy{Repeat: Unsent, MaxAttempts: 4}, 1, MayHaveRun, true, true, NoRepeat},
		{"repeatable", Policy{Repeat: Repeatable, MaxAttempts: 2}, 1, MayHaveRun, true, true, Again},
		{"repeatable, used up", Policy{Repeat: Repeatable, MaxAttempts: 2}, 2, MayHaveRun, true, true, NoAttempts},
		{"repeatable, used up, but not run", Policy{Repeat: Repeatable, MaxAttempts: 2}, 2, NotRun, true, true, Again},
		{"all attempts count", Policy{Repeat: Repeatable, MaxAttempts: 2, CountUnrun: true}, 2, NotSent, false, true, NoAttempts},
		{"no budget", Policy{Repeat: Repeatable, MaxAttempts: 2}, 1, MayHaveRun, true, false, NoBudget},
		{"free repeat without budget", Policy{Repeat: Repeatable, MaxAttempts: 2}, 1, NotSent, false, false, Again},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.policy.Allow = func() bool { return c.budget }
			tries := New(c.policy)
			for range c.attempts {
				tries.Count()
			}
			require.Equal(t, c.want, tries.Next(c.fate, c.costly))
		})
	}
}

// A booking's upstreams fail in any order and way. Whatever happens, it must not
// run twice, and no request may run more often than its rule allows.
func TestRunsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeat := rapid.SampledFrom([]Repeat{Never, Unsent, Repeatable}).Draw(t, "repeat")
		most := rapid.IntRange(1, 4).Draw(t, "most")
		tries := New(Policy{
			Repeat: repeat, MaxAttempts: most, CountUnrun: rapid.Bool().Draw(t, "count"),
			Allow: func() bool { return rapid.Bool().Draw(t, "allow") },
		})
		runs, sends := 0, 0
		for sends < 50 {
			sends++
			fate := rapid.SampledFrom([]Fate{NotSent, NotRun, MayHaveRun}).Draw(t, "fate")
			if fate == MayHaveRun {
				runs++
				tries.Count()
				tries.NoteRun()
			}
			if tries.Next(fate, fate != NotSent) != Again {
				break
			}
		}
		if repeat != Repeatable {
			require.LessOrEqual(t, runs, 1)
		}
		if repeat == Never {
			require.Equal(t, 1, sends)
		}
		require.LessOrEqual(t, runs, most)
		require.Equal(t, runs > 0, tries.Ran())
	})
}
