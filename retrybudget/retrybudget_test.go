package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testWindow = 10 * time.Second

// steady returns an account after some time of ten requests a second, and the time then.
func steady(l Limit, lasted time.Duration) (*Account, time.Time) {
	a, now := &Account{}, time.Unix(1000, 0)
	for range int(lasted / (100 * time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		a.Request(l, now)
	}
	return a, now
}

func TestBurstOfRetries(t *testing.T) {
	l := Limit{Ratio: 0.2, Slack: 5, Window: testWindow}
	for name, c := range map[string]struct {
		lasted time.Duration
		limit  func(Limit) Limit
		want   int
	}{
		"nothing before":          {0, nil, 5},
		"a window":                {testWindow, nil, 15},
		"two windows":             {2 * testWindow, nil, 15},
		"half a window":           {testWindow / 2, nil, 10},
		"the slack is held back":  {testWindow / 2, func(l Limit) Limit { l.SlackFrom = time.Unix(1006, 0); return l }, 5},
		"no slack":                {testWindow, func(l Limit) Limit { l.Slack = 0; return l }, 10},
		"no ratio":                {testWindow, func(l Limit) Limit { l.Ratio = 0; return l }, 5},
		"less slack than a retry": {0, func(l Limit) Limit { l.Slack = 0.9; return l }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := l
			if c.limit != nil {
				l = c.limit(l)
			}
			a, now := steady(l, c.lasted)
			require.Equal(t, c.want, a.Left(l, now))
			for range c.want {
				require.True(t, a.Retry(l, now))
			}
			require.False(t, a.Retry(l, now))
			_, retries := a.Recent(l, now)
			require.Equal(t, c.want, retries)
		})
	}
}

// Guards against a window that has less than its ratio and slack although the retries are spread.
func TestSpreadRetriesUseTheWholeBudget(t *testing.T) {
	l := Limit{Ratio: 0.2, Slack: 5, Window: testWindow}
	a, now := steady(l, 2*testWindow)
	made := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		a.Request(l, now)
		for a.Retry(l, now) {
			made++
		}
	}
	require.InDelta(t, 25, made, 1, "0.2 of 100 requests and the slack of 5")
}

func TestStateIsBounded(t *testing.T) {
	l := Limit{Ratio: 0.2, Slack: 5, Window: testWindow}
	a, now := &Account{}, time.Unix(1000, 0)
	for range 200_000 {
		now = now.Add(time.Millisecond)
		a.Request(l, now)
		a.Retry(l, now)
	}
	require.LessOrEqual(t, len(a.runs), 2*resolution+2)
}

func BenchmarkRetry(b *testing.B) {
	l := Limit{Ratio: 0.2, Slack: 5, Window: testWindow}
	a, now := steady(l, 2*testWindow)
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		a.Request(l, now)
		a.Retry(l, now)
	}
}
