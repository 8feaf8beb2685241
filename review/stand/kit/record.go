package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what happened.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Since returns the seconds since the record began.
func (r *Record) Since() float64 { return time.Since(r.began).Seconds() }

// Printf writes a line with the seconds since the beginning.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.Since(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to the standard output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
