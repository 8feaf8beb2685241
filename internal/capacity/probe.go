package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// What else the process holds changes by some kilobytes between two looks. So
// small things are built as often as makes up leastHeap, up to mostCopies.
const (
	leastHeap  = 1 << 20
	mostCopies = 256
)

// heapOf returns the bytes of live heap and goroutine stacks that build adds
// and that what it returns keeps alive. It calls build several times, and each
// must add the same.
func heapOf(build func() any) float64 {
	once := heapOnce(build)
	copies := int(min(mostCopies, leastHeap/max(once, 1)))
	if copies <= 1 {
		return once
	}
	all := heapOnce(func() any {
		kept := make([]any, copies)
		for i := range kept {
			kept[i] = build()
		}
		return kept
	})
	return all / float64(copies)
}

// heapOnce is heapOf with a single call of build.
func heapOnce(build func() any) float64 {
	before := liveBytes()
	kept := build()
	after := liveBytes()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveBytes() uint64 {
	// The first collection may leave what finalizers and pools still hold.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic(err) // the arguments are constants that the kernel knows
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// leastCPU is how much processor time one try rests on: the kernel counts in
// microseconds, and a collection of garbage must fall into it now and then.
const leastCPU = 12 * time.Millisecond

// tries is how many tries a value is the least of. Other work on the machine
// takes caches and shared cores away, which only ever adds to a try.
const tries = 3

// maxOps bounds the repeats of one value.
const maxOps = 1 << 20

// cpuOf returns the processor time of one call of op in nanoseconds: the least
// of some tries, each the mean over as many calls as leastCPU takes.
func cpuOf(op func()) float64 {
	op() // what is made at the first call doesn't count
	n := 1
	for cpuOfMany(op, n) < leastCPU && n < maxOps {
		n *= 4
	}
	least := cpuOfMany(op, n)
	for range tries - 1 {
		least = min(least, cpuOfMany(op, n))
	}
	return float64(least.Nanoseconds()) / float64(n)
}

// cpuOnce returns the processor time of one call of op in nanoseconds, as the
// least of some tries.
func cpuOnce(op func()) float64 {
	least := cpuOfMany(op, 1)
	for range tries - 1 {
		least = min(least, cpuOfMany(op, 1))
	}
	return float64(least.Nanoseconds())
}

func cpuOfMany(op func(), n int) time.Duration {
	runtime.GC()
	before := cpuTime()
	for range n {
		op()
	}
	return cpuTime() - before
}
