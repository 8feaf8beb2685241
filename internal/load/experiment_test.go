package load

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/settings"
)

// The programs must accept the settings that prepare writes, for every policy and both
// deployments, with addresses of their own.
func TestPreparedSettingsAreAccepted(t *testing.T) {
	for _, name := range []string{"kalku-rinda", "regnbrunnur"} {
		d, err := settings.Load("../../deploy/" + name + "/settings.json")
		require.NoError(t, err)
		for _, policy := range Policies {
			trial := Trial{Policy: policy, Mix: MixShift, Seed: 1, Scale: 10, Speed: Speed{Prefill: 2000, Decode: 300}}
			v, err := trial.Variant(d, time.Unix(1000, 0))
			require.NoError(t, err)
			v.Network = "127.99"
			path, err := Prepare(d, v, t.TempDir())
			require.NoError(t, err)
			got, err := settings.Load(path)
			require.NoError(t, err, "%s, %s", name, policy)
			assert.Regexp(t, `^127\.99\.`, got.Instances[0].Callers)
			assert.InDelta(t, d.Roles.ChangeSeconds/10, got.Roles.ChangeSeconds, 1e-9)
			assert.Equal(t, policy == KnownMix, len(got.Roles.Schedule) > 0)
		}
	}
}

func TestTableShowsMediansPerPolicy(t *testing.T) {
	dir := t.TempDir()
	for i, goodput := range []float64{10, 30, 20} {
		folder := filepath.Join(dir, "run", string(rune('a'+i)))
		require.NoError(t, os.MkdirAll(folder, 0o755))
		trial := Trial{Deployment: "d", Policy: Gain, Mix: MixShift, Seed: uint64(i), Summary: Summary{Goodput: goodput}}
		require.NoError(t, trial.write(folder))
	}
	trials, err := ReadTrials(dir)
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, PrintTable(&out, trials))
	assert.Regexp(t, `gain +3 +20\.0 +10\.0 +30\.0 `, out.String())
}
