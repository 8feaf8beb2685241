package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that are queued for writing.
const maxQueuedLines = 4096

// AsyncWriter writes lines in the background, so that a stalled reader or a full pipe
// never blocks a request. When the queue is full, lines are dropped; their number is
// written to the log once the output accepts data again.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	lost  atomic.Int64
	done  chan struct{}
	once  sync.Once
}

// NewAsyncWriter starts an asynchronous writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of dropped lines that the log doesn't report yet.
func (w *AsyncWriter) Lost() int64 { return w.lost.Load() }

// Close writes the queued lines and stops the writer. Lines written after Close are
// lost.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for running := true; running; {
		line := <-w.lines
		batch.Write(line)
		running = line != nil && w.appendQueued(&batch)
		if n := w.lost.Swap(0); n > 0 {
			fmt.Fprintf(&batch, "{\"level\":\"WARN\",\"msg\":\"log lines lost\",\"lines\":%d}\n", n)
		}
		_, _ = w.out.Write(batch.Bytes()) // there is no other place to report the error
		batch.Reset()
	}
}

// maxBatchBytes limits the size of a batch: no lines are added beyond it.
const maxBatchBytes = 16 << 10

// appendQueued adds the queued lines to the batch, so that they share one write. It
// returns false after the last line.
func (w *AsyncWriter) appendQueued(batch *bytes.Buffer) bool {
	for batch.Len() < maxBatchBytes {
		select {
		case line := <-w.lines:
			if line == nil {
				return false
			}
			batch.Write(line)
		default:
			return true
		}
	}
	return true
}
