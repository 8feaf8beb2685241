package member

import "runtime/debug"

// memoryLimitRatio is the share of the memory limit from which the runtime collects garbage more
// often, so that the process isn't killed for its memory use.
const memoryLimitRatio = 0.6

// limitMemory sets the runtime's memory limit; 0 leaves it unchanged.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * memoryLimitRatio))
	}
}
