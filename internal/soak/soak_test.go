package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ciSeeds are played with each run of the tests, beside the kept plans: one with
// many troubles at once, one with few.
var ciSeeds = []uint64{13, 11}

func buildMember(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "chute-member")
	out, err := exec.Command("go", "build", "-o", program, "tamarackchute/cmd/chute-member").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

func runClean(t *testing.T, o Options) {
	o.Folder = keptFolder(t)
	o.Daemons, o.Profile = 5, DefaultFaultProfile()
	if o.Callers == 0 {
		o.Callers = 20
	}
	report, err := Run(t.Context(), o)
	require.NoError(t, err)
	require.Empty(t, report.Violations)
	require.Greater(t, report.Outcomes["once 200"], 0)
}

// keptFolder returns a folder for a run's settings and logs, which stays if the test fails.
func keptFolder(t *testing.T) string {
	folder, err := os.MkdirTemp("", "chute-soak-test-")
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("settings and logs are kept in", folder)
			return
		}
		require.NoError(t, os.RemoveAll(folder))
	})
	return folder
}

// A driver must get the one true answer whatever happens to daemons, store,
// servers and the links between them, several at a time and one after the other.
// Real daemons are disturbed as each seed says; no promise may break.
func TestSeeds(t *testing.T) {
	t.Parallel()
	program := buildMember(t)
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runClean(t, Options{Program: program, Seed: seed})
		})
	}
}

// Plans that have shown a fault once must not show it again.
func TestKeptPlans(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/plans/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	program := buildMember(t)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			t.Parallel()
			kept, err := ReadPlan(file)
			require.NoError(t, err)
			require.NotEmpty(t, kept.Cause)
			runClean(t, Options{Program: program, Callers: kept.Callers, Steps: kept.Steps})
		})
	}
}

func TestKeptPlanIsReadAsWritten(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plan.json")
	kept := SavedPlan{Cause: "c", Steps: NewPlan(3, DefaultFaultProfile())}
	require.NoError(t, kept.Write(file))
	got, err := ReadPlan(file)
	require.NoError(t, err)
	require.Equal(t, kept, got)
	_, err = ReadPlan(filepath.Join(t.TempDir(), "none"))
	require.Error(t, err)
}

// A kept seed is worth nothing if it stands for other troubles the next time.
func TestPlanFollowsFromItsSeed(t *testing.T) {
	shape := DefaultFaultProfile()
	require.Equal(t, NewPlan(7, shape), NewPlan(7, shape))
	require.NotEqual(t, NewPlan(7, shape), NewPlan(8, shape))

	kinds := make(map[FaultKind]int)
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
