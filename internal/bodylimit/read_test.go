package bodylimit

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that are cut, or taken although they are too large.
func TestReadAll(t *testing.T) {
	const limit = 20_000
	for _, size := range []int{0, 1, minBuffer - 1, minBuffer, minBuffer + 1, limit - 1, limit, limit + 1, 2 * limit} {
		text := strings.Repeat("x", size)
		for _, length := range []int64{-1, int64(size)} {
			for name, r := range map[string]io.Reader{"at once": strings.NewReader(text), "by bytes": iotest.OneByteReader(strings.NewReader(text))} {
				share := New(1 << 20).Share()
				got, err := ReadAll(r, length, limit, share, nil)
				if size > limit {
					require.ErrorIs(t, err, ErrTooLarge, "%d bytes of %d %s", size, length, name)
					continue
				}
				require.NoError(t, err, "%d bytes of %d %s", size, length, name)
				require.Equal(t, text, string(got))
			}
		}
	}
	broken := errors.New("broken")
	_, err := ReadAll(iotest.ErrReader(broken), 10, limit, new(Share), nil)
	require.ErrorIs(t, err, broken)
}

// Guards against memory that is given for what a client only announces, or that counts in no sum.
func TestBufferGrowsWithWhatHasArrived(t *testing.T) {
	l := NewOf(FreeBytes, 0)
	waiting, send := io.Pipe()
	defer func() { _ = send.Close() }()
	share := l.Share()
	go func() { _, _ = ReadAll(waiting, 1<<20, 1<<20, share, nil) }()
	_, err := send.Write(make([]byte, 100))
	require.NoError(t, err)
	require.NoError(t, l.Share().Hold(FreeBytes-minBuffer), "an announced length takes no room")
	require.ErrorIs(t, l.Share().Hold(1), ErrExceeded, "small bodies count")
}

// Guards against a body that is refused although others end for it.
func TestBodyGetsTheRoomOfOthers(t *testing.T) {
	l := NewOf(2*minBuffer, 0)
	other := l.Share()
	require.NoError(t, other.Hold(2*minBuffer))
	_, err := ReadAll(strings.NewReader("x"), 1, 10, l.Share(), func() bool { return false })
	require.ErrorIs(t, err, ErrExceeded)
	got, err := ReadAll(strings.NewReader("x"), 1, 10, l.Share(), func() bool { other.Release(); return true })
	require.NoError(t, err)
	require.Equal(t, "x", string(got))
}
