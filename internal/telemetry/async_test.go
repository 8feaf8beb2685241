package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// stalledWriter blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *stalledWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

// If the reader of the log stalls, writes must not block: lines are dropped, their
// number is logged once the reader resumes, and the other lines stay intact.
func TestStalledReaderDropsLines(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	const written = 3 * maxQueuedLines
	for i := range written {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Positive(t, w.Lost())
	close(out.release)
	w.Close()
	text := out.written.String()
	count := strings.Count(text, "line ")
	require.Contains(t, text, "log lines lost")
	require.Less(t, count, written)
	require.GreaterOrEqual(t, count, maxQueuedLines)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		require.True(t, strings.HasPrefix(line, "line ") || strings.HasPrefix(line, "{"), line)
	}
	_, err := w.Write([]byte("after the end"))
	require.NoError(t, err)
}
