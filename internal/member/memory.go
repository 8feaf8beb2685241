package member

import "runtime/debug"

// memoryShare is the share of the instance's memory from which the runtime
// collects garbage harder rather than be killed.
const memoryLimitRatio = 0.6

// limitMemory tells the runtime how much memory the process may use; 0 leaves it
// as it is.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * memoryLimitRatio))
	}
}
