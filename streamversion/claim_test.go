package streamversion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a claim on a pool that another version has served within the retention.
func TestWatchClaimsASoleVersion(t *testing.T) {
	now := time.Unix(1, 0)
	w := NewWatch("v1", now)
	_, ok := w.Claim("v1", retention, now.Add(retention-1))
	require.False(t, ok, "it hasn't watched for long enough")
	now = now.Add(retention)
	c, ok := w.Claim("v1", retention, now)
	require.True(t, ok)
	require.Equal(t, Claim{"v1", retention}, c)
	w.See("v2", now)
	w.See("v1", now.Add(1))
	_, ok = w.Claim("v1", retention, now.Add(retention))
	require.False(t, ok, "another version came and went")
	_, ok = w.Claim("v1", retention, now.Add(retention+1))
	require.True(t, ok)
}

// Guards against a claim that is believed though streams may be taken up for longer by now.
func TestClaimHoldsForItsRetention(t *testing.T) {
	require.True(t, Claim{"v1", retention}.Holds(retention))
	require.False(t, Claim{"v1", retention}.Holds(retention+1))
	require.False(t, Claim{"", retention}.Holds(retention))
}

// Guards against a store that is asked for a claim that couldn't help.
func TestPastIsLackedByNewProcessesOnly(t *testing.T) {
	p := newProcess()
	require.False(t, p.LacksPast("llm"))
	b := NewBook(func() time.Time { return p.now }, func() bool { return true })
	require.False(t, b.LacksPast("llm"))
	b.Observe(pools([]string{"v1", "v2"}))
	require.False(t, b.LacksPast("llm"), "nobody can tell by the pool")
	b = NewBook(func() time.Time { return p.now }, func() bool { return true })
	b.Observe(pools([]string{"v1"}))
	require.True(t, b.LacksPast("llm"))
	b.HearSole("llm", "v1")
	require.False(t, b.LacksPast("llm"))
}

// Guards against a sole version that is never claimed, as the last entry written was of another one.
func TestWatchFollowsTheSoleVersion(t *testing.T) {
	now := time.Unix(1, 0)
	w := NewWatch("", now)
	_, ok := w.Claim("v2", retention, now.Add(retention))
	require.False(t, ok, "it hasn't been watched")
	c, ok := w.Claim("v2", retention, now.Add(2*retention))
	require.True(t, ok)
	require.Equal(t, "v2", c.Version)
}
