package soak

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// kept returns the seeds of testdata/seeds.txt.
func kept(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open("testdata/seeds.txt")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	var seeds []uint64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		first, _, _ := strings.Cut(lines.Text(), " ")
		seed, err := strconv.ParseUint(first, 10, 64)
		require.NoError(t, err)
		seeds = append(seeds, seed)
	}
	require.NoError(t, lines.Err())
	return seeds
}

// A driver must get the one true answer whatever happens to daemons, store,
// servers and the links between them, several at a time and one after the other.
// Real daemons are disturbed as each kept seed says; no promise may break.
func TestKeptSeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "chute-member")
	out, err := exec.Command("go", "build", "-o", program, "tamarackchute/cmd/chute-member").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, seed := range kept(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			folder := filepath.Join(t.TempDir(), "logs")
			report, err := Run(Options{
				Program: program, Folder: folder,
				Seed: seed, Daemons: 5, Callers: 20, Shape: DefaultShape(),
			})
			require.NoError(t, err)
			require.Empty(t, report.Violations)
			require.Greater(t, report.Outcomes["once 200"], 0)
		})
	}
}

// A kept seed is worth nothing if it stands for other troubles the next time.
func TestPlanFollowsFromItsSeed(t *testing.T) {
	shape := DefaultShape()
	require.Equal(t, NewPlan(7, shape), NewPlan(7, shape))
	require.NotEqual(t, NewPlan(7, shape), NewPlan(8, shape))

	kinds := make(map[Kind]int)
	for seed := range uint64(50) {
		versions := 1
		for _, step := range NewPlan(seed, shape) {
			require.Less(t, step.At, shape.Length)
			require.Positive(t, step.For)
			kinds[step.Kind]++
			if step.Kind == PublishVersion {
				versions++
			}
		}
		require.LessOrEqual(t, versions, maxVersions)
	}
	require.Len(t, kinds, len(weights), "each kind comes up")
}

func TestTroublesTellWhatWasQuiet(t *testing.T) {
	tr := newTroubles()
	before := time.Now()
	end := tr.begin("store")
	during := time.Now()
	require.False(t, tr.quiet(before, during, "store"))
	require.True(t, tr.quiet(before, during, "daemon 1"))
	require.False(t, tr.quiet(before, during, "daemon 1", "store"))
	end()
	time.Sleep(time.Millisecond)
	after := time.Now()
	require.True(t, tr.quiet(after, after.Add(time.Second), "store"))
	require.False(t, tr.quiet(during, after, "store"))
}
