package ctl

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const prefillLog = `{"time":"2026-05-01T10:00:03.000Z","msg":"attempt","instance":"a","request":"late","upstream":"e1","lasted_ms":3000,"read_ms":200,"uncached":138}
{"time":"2026-05-01T10:00:00.100Z","msg":"attempt","instance":"b","request":"long","upstream":"e1","lasted_ms":90,"read_ms":90,"uncached":12000}
{"time":"2026-05-01T10:00:00.100Z","msg":"attempt","instance":"b","request":"apart","upstream":"e2","prefill":"e1","lasted_ms":95,"read_ms":40,"uncached":3000}
{"time":"2026-05-01T10:00:00.100Z","msg":"attempt","instance":"b","request":"elsewhere","upstream":"e2","lasted_ms":90,"read_ms":90,"uncached":7}
{"time":"2026-05-01T10:00:01.000Z","msg":"attempt","instance":"b","request":"after","upstream":"e1","lasted_ms":90,"read_ms":90,"uncached":7}
{"time":"2026-05-01T10:00:00.100Z","msg":"attempt","instance":"b","request":"unread","upstream":"e1","lasted_ms":90,"read_ms":0,"uncached":7}
`

// A request's first event can be late because the engine prefilled prompts that other
// daemons had sent. -beside must print exactly the prompts whose prefill at the same
// engine overlaps in time.
func TestConcurrentPrefills(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(file, []byte(prefillLog), 0o600))
	out, _, code := runCommand(t, "", "explain", "-beside", "-log", file, "late")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, `request="long"`)
	require.Contains(t, out, `request="apart"`)
	require.Contains(t, out, "e1 read 2 other prompts meanwhile, 15000 tokens not kept there")
	for _, other := range []string{"elsewhere", "after", "unread"} {
		require.NotContains(t, out, other)
	}
	_, errs, code := runCommand(t, "", "explain", "-beside", "late")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errs, "-log")
}
