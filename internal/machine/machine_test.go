package machine

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMemoryIsThatOfTheMachineOrTheGroup(t *testing.T) {
	file := filepath.Join(t.TempDir(), "meminfo")
	require.NoError(t, os.WriteFile(file, []byte("MemFree: 5 kB\nMemTotal:       1000 kB\n"), 0o600))
	require.EqualValues(t, 1000<<10, totalMemory(file))
	require.Zero(t, totalMemory(file+".missing"))
	all := Memory()
	limit := filepath.Join(t.TempDir(), "memory.max")
	defer func(files []string) { memoryLimits = files }(memoryLimits)
	memoryLimits = []string{limit}
	require.NoError(t, os.WriteFile(limit, []byte("1048576\n"), 0o600))
	require.EqualValues(t, 1<<20, Memory())
	require.NoError(t, os.WriteFile(limit, []byte("max\n"), 0o600))
	require.GreaterOrEqual(t, Memory(), all, "no limit of the group")
	require.Positive(t, Descriptors())
}

// Guards against limits that don't fit the machine together, or that don't allow one large request.
func TestSharesFitTheMachine(t *testing.T) {
	for _, memory := range []int64{120e6, 160e6, 284e6, 1 << 30, 24 << 30} {
		for _, descriptors := range []int{0, 1000, 4100, 20000} {
			s := SharesOf(memory, descriptors)
			all := s.Heads + s.SmallBodies + s.LargeBodies + s.SmallResponses + s.LargeResponses + int64(s.Connections)*connectionBytes
			require.Less(t, all, memory*6/10, "beside what the process needs itself")
			require.GreaterOrEqual(t, s.LargeBodies, int64(2*(4<<20)), "a body of 4 MiB in a buffer that has grown")
			require.GreaterOrEqual(t, s.LargeResponses, int64(8<<20+4096), "the largest response")
			if descriptors > 0 {
				require.LessOrEqual(t, 2*s.Connections, descriptors, "each request needs one for its upstream")
			}
		}
	}
	unknown := SharesOf(0, 0)
	require.Zero(t, unknown.Connections)
	require.EqualValues(t, maxBodies, unknown.LargeBodies)
}
