package ctl

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const adviceLog = `{"time":"2026-05-01T10:00:00.000Z","msg":"upstream backoff","instance":"a","upstream":"over","pool":"p","backoff_ms":1000,"request":"r0"}
{"time":"2026-05-01T10:00:01.000Z","msg":"upstream leaves","instance":"a","upstream":"leaving","pool":"p","request":"r0"}
{"time":"2026-05-01T10:00:01.500Z","msg":"upstream backoff","instance":"a","upstream":"backing-off","pool":"p","backoff_ms":3000,"request":"r0"}
{"time":"2026-05-01T10:00:01.500Z","msg":"upstream backoff","instance":"a","upstream":"other-pool","pool":"q","backoff_ms":3000,"request":"r0"}
{"time":"2026-05-01T10:00:01.500Z","msg":"upstream backoff","instance":"b","upstream":"other-daemon","pool":"p","backoff_ms":3000,"request":"r0"}
{"time":"2026-05-01T10:00:02.000Z","msg":"upstream backoff","instance":"a","upstream":"own","pool":"p","backoff_ms":3000,"request":"r1"}
{"time":"2026-05-01T10:00:02.000Z","msg":"attempt","instance":"a","request":"r1","upstream":"own","pool":"p","lasted_ms":5}
{"time":"2026-05-01T10:00:02.001Z","msg":"failed","instance":"a","request":"r1","status":503,"reason":"all back off","pool":"p","took_ms":6}
{"time":"2026-05-01T10:00:03.000Z","msg":"upstream leaves","instance":"a","upstream":"later","pool":"p","request":"r2"}
`

// Why an upstream wasn't used is said in a line on another request: it is printed too if it
// was in effect at that daemon.
func TestExplainShowsWhatUpstreamsAskedFor(t *testing.T) {
	out, _, code := runCommand(t, adviceLog, "explain", "r1")
	require.Equal(t, ExitOK, code)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 5)
	for i, want := range []string{`upstream="leaving"`, `upstream="backing-off"`, `upstream="own"`, "attempt", `reason="all back off"`} {
		require.Contains(t, lines[i], want)
	}
	require.Contains(t, lines[1], "-500.000 ms")
	require.Contains(t, lines[1], `backoff_ms=3000 pool="p" request="r0"`)
}
