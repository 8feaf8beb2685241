package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func readAll(r io.Reader) (raw []string, ids []int, err error) {
	in := newEventReader(r)
	for {
		e, err := in.next()
		if err != nil {
			return raw, ids, err
		}
		raw = append(raw, string(e.raw))
		ids = append(ids, e.id)
	}
}

// However the bytes arrive, events are returned complete and unchanged, and a stream
// that ends in the middle of one gives an error.
func TestEventReader(t *testing.T) {
	text := "id: 1\ndata: a\n\nid:2\r\nevent: x\r\ndata: b\r\n\r\nx-weight-versions: 3\nid: 3\ndata: " + strings.Repeat("c", 9000) + "\n\n: note\n\n"
	for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		raw, ids, err := readAll(r)
		require.Equal(t, io.EOF, err)
		require.Equal(t, []int{1, 2, 3, 0}, ids)
		require.Equal(t, text, strings.Join(raw, ""))
	}
	for _, cut := range []string{"id: 1\n", "id: 1\ndata: a", "id: 1\ndata: a\n", "id: 1\ndata: a\n\nid: 2"} {
		_, _, err := readAll(strings.NewReader(cut))
		require.ErrorIs(t, err, errTruncatedEvent, "%q", cut)
	}
	broken := errors.New("reset")
	_, ids, err := readAll(io.MultiReader(strings.NewReader("id: 1\n\nid: 2\n"), iotest.ErrReader(broken)))
	require.ErrorIs(t, err, broken)
	require.Equal(t, []int{1}, ids)
	_, _, err = readAll(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n"))
	require.ErrorContains(t, err, "more than")
}
