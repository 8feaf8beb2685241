package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const requestLog = `2.1 frontend-b {"time":"2026-05-01T10:00:00.020Z","level":"WARN","msg":"attempt","instance":"b","request":"r1","upstream":"u2","fate":"not run"}
{"time":"2026-05-01T10:00:00.005Z","level":"INFO","msg":"attempt","instance":"a","request":"r1","upstream":"u1","waited_ms":4.5}
{"time":"2026-05-01T10:00:00.006Z","level":"INFO","msg":"attempt","instance":"a","request":"r11","upstream":"u1"}
{"time":"2026-05-01T10:00:00.007Z","level":"INFO","msg":"peer heard","instance":"a","peer":"r1"}
not a log line "r1"
{"broken "r1"
{"time":"2026-05-01T10:00:00.030Z","level":"WARN","msg":"failed","instance":"b","request":"r1","status":503,"reason":"no place"}
`

func runCommand(t *testing.T, stdin string, args ...string) (string, string, ExitCode) {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(args, Environment{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }})
	return out.String(), errs.String(), code
}

// The lines about one request are printed in chronological order, whichever daemon
// wrote them and whatever else the logs contain.
func TestExplainPrintsRequestInOrder(t *testing.T) {
	out, _, code := runCommand(t, requestLog, "explain", "r1")
	require.Equal(t, ExitOK, code)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 3)
	require.Contains(t, lines[0], `upstream="u1" waited_ms=4.5`)
	require.Contains(t, lines[1], "15.000 ms")
	require.Contains(t, lines[2], `reason="no place" status=503`)
}

func TestExplainReadsFiles(t *testing.T) {
	var names []string
	for i, part := range strings.SplitAfterN(requestLog, "\n", 2) {
		name := filepath.Join(t.TempDir(), string(rune('a'+i)))
		require.NoError(t, os.WriteFile(name, []byte(part), 0o600))
		names = append(names, name)
	}
	out, _, code := runCommand(t, "", "-o", "json", "explain", "-log", strings.Join(names, ","), "r1")
	require.Equal(t, ExitOK, code)
	require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 3)
	require.True(t, strings.HasPrefix(out, `{"time":"2026-05-01T10:00:00.005Z"`))
}

func TestExplainFailures(t *testing.T) {
	_, errs, code := runCommand(t, requestLog, "explain", "r2")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errs, `"r2"`)
	_, errs, code = runCommand(t, "", "explain", "-log", "/nowhere/at/all", "r1")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errs, "/nowhere/at/all")
}
