// Package machine tells what the process may use of its machine.
package machine

import (
	"bufio"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
)

// memoryLimits are the files with the memory limits of the process's control group, by version.
var memoryLimits = []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"}

// Memory returns the memory that the process may use, in bytes; 0 if it can't be found. GOMEMLIMIT counts, as an operator's
// word.
func Memory() int64 {
	memory := debug.SetMemoryLimit(-1) // which changes nothing
	if total := totalMemory("/proc/meminfo"); total > 0 {
		memory = min(memory, total)
	}
	for _, file := range memoryLimits {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && limit > 0 { // "max" is none
			memory = min(memory, limit)
		}
	}
	if memory == math.MaxInt64 {
		return 0
	}
	return memory
}

func totalMemory(file string) int64 {
	f, err := os.Open(file)
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 3 && fields[0] == "MemTotal:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// Descriptors returns how many descriptors the process may have open; 0 if it can't be found.
func Descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
