package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// patchFuzz is how many lines of context at either end of a hunk the program patch leaves out.
const patchFuzz = 2

// Guards against a planted fault that no longer fits the code: the soak isn't shown to detect it then.
func TestPlantedFaultsFitTheCode(t *testing.T) {
	files, err := filepath.Glob("testdata/planted/*.patch")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		head, body, found := strings.Cut(string(text), "\n")
		require.True(t, found && strings.HasPrefix(head, "Promise: "), file)
		if plan, rest, _ := strings.Cut(body, "\n"); strings.HasPrefix(plan, "Plan: ") {
			require.FileExists(t, filepath.Join("testdata/plans", strings.TrimPrefix(plan, "Plan: ")+".json"), file)
			body = rest
		}
		for _, change := range strings.Split(body, "\n--- a/") {
			path, hunks, _ := strings.Cut(strings.TrimPrefix(change, "--- a/"), "\n")
			code, err := os.ReadFile(filepath.Join("../..", path))
			require.NoError(t, err, file)
			for _, hunk := range strings.Split(hunks, "\n@@ ")[1:] {
				require.True(t, fits(hunk, string(code)), "%s doesn't fit %s: @@ %s", file, path, hunk)
			}
		}
	}
}

// fits reports whether the lines that a hunk replaces are in the code.
func fits(hunk, code string) bool {
	var old []string
	before, after := 0, 0 // lines of context at either end
	changed := false
	for _, line := range strings.Split(strings.TrimSuffix(hunk, "\n"), "\n")[1:] {
		if strings.HasPrefix(line, "+") || strings.HasPrefix(line, "-") {
			changed, after = true, 0
		}
		if strings.HasPrefix(line, "+") {
			continue
		}
		old = append(old, strings.TrimPrefix(strings.TrimPrefix(line, "-"), " "))
		switch {
		case strings.HasPrefix(line, "-"):
		case changed:
			after++
		default:
			before++
		}
	}
	for fuzz := range patchFuzz + 1 {
		lines := old[min(fuzz, before) : len(old)-min(fuzz, after)]
		if strings.Contains("\n"+code, "\n"+strings.Join(lines, "\n")+"\n") {
			return true
		}
	}
	return false
}
