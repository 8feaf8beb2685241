package rules

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/journal"
)

const commented = `// Spring rules.
{
  "rules": [
    // Bookings first.
    {"name": "book", "when": "path == \"/book\"", "then": {"pool": "booking"}}, // the yard

    {"name": "short", "when": "prompt_tokens < 100", "then": {"pool": "agronomy", "class": "short"}},
    /* the rest */ {"name": "rest", "when": "true", "then": {"pool": "agronomy"}} // last
  ]
}
// end`

func TestMoveKeepsComments(t *testing.T) {
	moved, err := Move([]byte(commented), "book", MoveTarget{Last: true})
	require.NoError(t, err)
	require.Equal(t, `// Spring rules.
{
  "rules": [

    {"name": "short", "when": "prompt_tokens < 100", "then": {"pool": "agronomy", "class": "short"}},
    /* the rest */ {"name": "rest", "when": "true", "then": {"pool": "agronomy"}}, // last
    // Bookings first.
    {"name": "book", "when": "path == \"/book\"", "then": {"pool": "booking"}} // the yard
  ]
}
// end`, string(moved))
	for _, c := range []struct {
		rule string
		to   MoveTarget
		want string
	}{
		{"rest", MoveTarget{First: true}, "rest book short"},
		{"book", MoveTarget{Before: "rest"}, "short book rest"},
		{"rest", MoveTarget{Before: "short"}, "book rest short"},
		{"gone", MoveTarget{First: true}, `no rule "gone"`},
		{"book", MoveTarget{Before: "gone"}, `no rule "gone"`},
		{"book", MoveTarget{Before: "book"}, "before itself"},
	} {
		moved, err := Move([]byte(commented), c.rule, c.to)
		if err != nil {
			require.ErrorContains(t, err, c.want)
			continue
		}
		names, err := ruleNames(moved)
		require.NoError(t, err)
		require.Equal(t, c.want, strings.Join(names, " "))
		diff, err := DiffDocuments([]byte(commented), moved)
		require.NoError(t, err)
		require.Len(t, diff, 1)
		require.Equal(t, RuleMoved, diff[0].Kind)
	}
}

func TestDiffListsEachChange(t *testing.T) {
	after := document(
		rule("rest", "load < 9", toAgronomy),
		rule("short", "prompt_tokens < 200", `"pool": "agronomy", "class": "short"`),
		rule("new", "stream", toAgronomy))
	diff, err := DiffDocuments([]byte(commented), after)
	require.NoError(t, err)
	require.Equal(t, `- 1 book: when path == "/book" then {"pool":"booking"}
~ rest: when true -> load < 9
> rest: moved from 3 to 1
~ short: when prompt_tokens < 100 -> prompt_tokens < 200
+ 3 new: when stream then {"pool":"agronomy"}
`, diff.String())
}

func TestPeerStateRoundTrip(t *testing.T) {
	want := PeerState{State: State{Version: Version{Offset: 7, Index: 2}, Document: []byte("x")}, Through: journal.Position{Offset: 9}, Settled: true}
	data, err := msgpack.Marshal(&want)
	require.NoError(t, err)
	var got PeerState
	require.NoError(t, msgpack.Unmarshal(data, &got))
	require.Equal(t, want.State.Version, got.State.Version)
	require.Equal(t, want.Through, got.Through)
	require.True(t, got.Settled)
}
