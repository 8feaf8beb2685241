package stream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against reading another caller's answer with a forged or copied event id.
// Such ids must be refused, while the caller's own id opens at every instance that
// has the secret.
func TestEventIDOpensOnlyForItsRequest(t *testing.T) {
	origin := Origin{Answer: "cmpl-1", Created: 5, Upstream: "Vík-3", Attempt: "a-1", First: 4}
	digest := NewRequestDigest("farm-1", "/v1/completions", []byte("body"))
	id := string(AppendID(nil, NewSigner([]byte("secret")).Prefix(origin, digest), 17))

	other := NewSigner([]byte("secret"))
	got, index, err := other.Open(id, digest)
	require.NoError(t, err)
	require.Equal(t, origin, got)
	require.Equal(t, 17, index)

	for name, attempt := range map[string]func() error{
		"other organisation": func() error {
			_, _, err := other.Open(id, NewRequestDigest("farm-2", "/v1/completions", []byte("body")))
			return err
		},
		"other body": func() error {
			_, _, err := other.Open(id, NewRequestDigest("farm-1", "/v1/completions", []byte("bodY")))
			return err
		},
		"parts moved between fields": func() error {
			_, _, err := other.Open(id, NewRequestDigest("farm-1/v1", "/completions", []byte("body")))
			return err
		},
		"other secret": func() error {
			_, _, err := NewSigner([]byte("secret2")).Open(id, digest)
			return err
		},
		"negative index": func() error {
			_, _, err := other.Open(strings.Replace(id, ".17", ".-1", 1), digest)
			return err
		},
		"empty": func() error { _, _, err := other.Open("", digest); return err },
	} {
		require.ErrorIs(t, attempt(), ErrEventID, name)
	}
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, strings.IndexByte(id, '.')-1).Draw(t, "at")
		c := rapid.SampledFrom([]byte("ABCabc019-_=")).Draw(t, "c")
		forged := id[:at] + string(c) + id[at+1:]
		if forged == id {
			return
		}
		if got, _, err := other.Open(forged, digest); err == nil {
			// The last base64 character has unused bits.
			require.Equal(t, origin, got)
		}
	})
}

// Guards against running out of memory with many long answers: the buffered text must
// stay within each stream's limit and the process's budget, and all of it must return
// to the budget when the streams end.
func TestOutputBuffersStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewMemoryBudget(64)
		streams := []*OutputBuffer{NewOutputBuffer(budget, 30), NewOutputBuffer(budget, 30), NewOutputBuffer(budget, 30)}
		full := make([]string, len(streams))
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(streams)-1).Draw(t, "stream")
			text := rapid.StringMatching(`[a-c]{0,4}`).Draw(t, "text")
			streams[i].Add(text)
			full[i] += text
			require.LessOrEqual(t, budget.Used(), int64(64))
			if got, kept := streams[i].Text(); kept {
				require.Equal(t, full[i], got)
				require.LessOrEqual(t, len(got), 30)
			}
		}
		for _, s := range streams {
			s.Discard()
			s.Discard()
		}
		require.Zero(t, budget.Used())
	})
}
