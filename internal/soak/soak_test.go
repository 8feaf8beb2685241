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

// testSeeds run with the tests, in addition to the saved plans: one has many concurrent faults,
// one few.
var testSeeds = []uint64{13, 11}

func buildMember(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "chute-member")
	out, err := exec.Command("go", "build", "-o", program, "tamarackchute/cmd/chute-member").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

func requireNoViolations(t *testing.T, o Options) {
	o.Folder = folderKeptOnFailure(t)
	o.Daemons, o.Profile = 5, DefaultFaultProfile()
	if o.Callers == 0 {
		o.Callers = 20
	}
	report, err := Run(t.Context(), o)
	require.NoError(t, err)
	require.Empty(t, report.Violations)
	require.Greater(t, report.Outcomes["once 200"], 0)
}

// folderKeptOnFailure returns a folder for a run's settings and logs, which is kept if the test
// fails.
func folderKeptOnFailure(t *testing.T) string {
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

// Each caller must get the one correct answer whatever happens to daemons, store, servers and
// the links between them. Real daemons run under each seed's faults, concurrent and consecutive;
// no promise may break.
func TestSeeds(t *testing.T) {
	t.Parallel()
	program := buildMember(t)
	for _, seed := range testSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			requireNoViolations(t, Options{Program: program, Seed: seed})
		})
	}
}

// Plans that revealed a bug once must not reveal it again.
func TestKeptPlans(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/plans/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	program := buildMember(t)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			t.Parallel()
			saved, err := ReadPlan(file)
			require.NoError(t, err)
			require.NotEmpty(t, saved.Cause)
			requireNoViolations(t, Options{Program: program, Callers: saved.Callers, LongPolls: saved.LongPolls, Steps: saved.Steps})
		})
	}
}

func TestSavedPlanRoundTrip(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plan.json")
	saved := SavedPlan{Cause: "c", Steps: NewPlan(3, DefaultFaultProfile())}
	require.NoError(t, saved.Write(file))
	got, err := ReadPlan(file)
	require.NoError(t, err)
	require.Equal(t, saved, got)
	_, err = ReadPlan(filepath.Join(t.TempDir(), "none"))
	require.Error(t, err)
}

// The same seed must yield the same faults, or a seed that revealed a bug couldn't be replayed.
func TestPlanIsDeterministicPerSeed(t *testing.T) {
	profile := DefaultFaultProfile()
	require.Equal(t, NewPlan(7, profile), NewPlan(7, profile))
	require.NotEqual(t, NewPlan(7, profile), NewPlan(8, profile))

	kinds := make(map[FaultKind]int)
	for seed := range uint64(50) {
		versions := 1
		for _, step := range NewPlan(seed, profile) {
			require.Less(t, step.At, profile.Length)
			require.Positive(t, step.For)
			kinds[step.Kind]++
			if step.Kind == PublishVersion {
				versions++
			}
		}
		require.LessOrEqual(t, versions, maxVersions)
	}
	require.Len(t, kinds, len(kindWeights)+len(answerKindWeights)+len(accessKindWeights)+len(needKindWeights)+len(pathKindWeights)+len(siteKindWeights)+len(configKindWeights)+len(transferKindWeights)+len(poolKindWeights)+len(releaseKindWeights)+len(momentKindWeights)+len(silenceKindWeights)+len(handOnKindWeights), "each kind comes up")
}

func TestFaultLogUndisturbed(t *testing.T) {
	log := newFaultLog()
	before := time.Now()
	end := log.begin("store")
	during := time.Now()
	require.False(t, log.undisturbed(before, during, "store"))
	require.True(t, log.undisturbed(before, during, "daemon 1"))
	require.False(t, log.undisturbed(before, during, "daemon 1", "store"))
	end()
	time.Sleep(time.Millisecond)
	after := time.Now()
	require.True(t, log.undisturbed(after, after.Add(time.Second), "store"))
	require.False(t, log.undisturbed(during, after, "store"))
}
