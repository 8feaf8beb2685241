package capacity

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Usage is what the kernel counts of a process.
type Usage struct {
	At time.Time
	// CPU is the time on a processor of all its threads.
	CPU time.Duration
	// Bytes counts what it read and wrote by system calls. These processes
	// have no disks, so it is the traffic of its sockets.
	Bytes int64
	// Resident is its memory in bytes.
	Resident int64
}

// UsageOf reads a process's usage.
func UsageOf(pid int) (Usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	u := Usage{At: time.Now()}
	var err error
	if u.CPU, err = threadsTime(folder); err != nil {
		return u, err
	}
	read, err := field(filepath.Join(folder, "io"), "rchar:")
	if err != nil {
		return u, err
	}
	written, err := field(filepath.Join(folder, "io"), "wchar:")
	if err != nil {
		return u, err
	}
	u.Bytes = read + written
	kib, err := field(filepath.Join(folder, "status"), "VmRSS:")
	u.Resident = kib << 10
	return u, err
}

// threadsTime sums the threads' times in nanoseconds. The process's own count
// has steps of 10 ms, which is much of what an idle one uses in a second.
func threadsTime(folder string) (time.Duration, error) {
	files, err := filepath.Glob(filepath.Join(folder, "task", "*", "schedstat"))
	if err != nil || len(files) == 0 {
		return 0, eris.Errorf("no threads in %s", folder)
	}
	var sum time.Duration
	for _, name := range files {
		text, err := os.ReadFile(name)
		if os.IsNotExist(err) {
			continue // the thread has ended meanwhile
		}
		if err != nil {
			return 0, err
		}
		onCPU, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(onCPU, 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, name)
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// field returns the number behind a word in a file of /proc.
func field(file, word string) (int64, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), word)
	words := strings.Fields(rest)
	if !found || len(words) == 0 {
		return 0, eris.Errorf("%s has no %s", file, word)
	}
	return strconv.ParseInt(words[0], 10, 64)
}
