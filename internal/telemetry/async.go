package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// asyncLines bounds the lines that wait to be written.
const asyncLines = 4096

// AsyncWriter writes lines in the background. A reader that stalls, or a full
// pipe, loses lines, which are counted and told later; it never holds a request
// up.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	lost  atomic.Int64
	done  chan struct{}
	once  sync.Once
}

// NewAsyncWriter starts a writer in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
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

// Lost returns the number of lines lost and not yet told of.
func (w *AsyncWriter) Lost() int64 { return w.lost.Load() }

// Close writes what waits. Lines written after it are lost.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for open := true; open; {
		line := <-w.lines
		batch.Write(line)
		open = line != nil && w.gather(&batch)
		if n := w.lost.Swap(0); n > 0 {
			fmt.Fprintf(&batch, "{\"level\":\"WARN\",\"msg\":\"log lines lost\",\"lines\":%d}\n", n)
		}
		_, _ = w.out.Write(batch.Bytes()) // there is nowhere else to say it
		batch.Reset()
	}
}

// batchBytes bounds what is written at once.
const batchBytes = 16 << 10

// gather adds the lines that wait already, so that they cost one write. It
// returns false at the end of all lines.
func (w *AsyncWriter) gather(batch *bytes.Buffer) bool {
	for batch.Len() < batchBytes {
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
