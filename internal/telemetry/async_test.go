package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// stalledWriter takes nothing until it is let go.
type stalledWriter struct {
	free chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (w *stalledWriter) Write(b []byte) (int, error) {
	<-w.free
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(b)
}

// Whoever reads the log stalls. Requests must go on: lines are lost, their number
// is told once the reader is back, and those that were kept are whole.
func TestStalledReaderLosesLinesNotTime(t *testing.T) {
	out := &stalledWriter{free: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = 3 * asyncLines
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Positive(t, w.Lost())
	close(out.free)
	w.Close()
	text := out.got.String()
	kept := strings.Count(text, "line ")
	require.Contains(t, text, "log lines lost")
	require.Less(t, kept, lines)
	require.GreaterOrEqual(t, kept, asyncLines)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		require.True(t, strings.HasPrefix(line, "line ") || strings.HasPrefix(line, "{"), line)
	}
	_, err := w.Write([]byte("after the end"))
	require.NoError(t, err)
}
