package capacity

import (
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/settings"
)

// A slope that the noise of a busy machine bends makes every figure at the
// target wrong. The fit must find a known line through values of 5% noise, and
// its interval must hold the slope, although sizes span three orders.
func TestFitFindsTheLine(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	e := Experiment{ID: "a.b", Unit: Nanos, Per: "thing", Sizes: []int{7, 50, 6900}, Measure: func(n int) (float64, error) {
		return (400 + 3*float64(n)) * (1 + 0.05*(2*rnd.Float64()-1)), nil
	}}
	s, err := e.Run(5)
	require.NoError(t, err)
	f := s.Fit()
	require.InEpsilon(t, 3, f.Slope.Value, 0.05)
	require.InEpsilon(t, 400, f.Base.Value, 0.1)
	require.Less(t, f.Slope.Low, 3.0)
	require.Greater(t, f.Slope.High, 3.0)
}

func measuredLines(t *testing.T) []Line {
	t.Helper()
	file, err := os.Open("../../docs/measurements/capacity.csv")
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	lines, err := ReadLines(file)
	require.NoError(t, err)
	return lines
}

// A reader recomputes a row from the CSV file and gets something else: the page
// was edited by hand, or the file measured anew without it.
func TestPageShowsItsFile(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	anew, err := ReplaceTables(string(page), NewMeasured(measuredLines(t)))
	require.NoError(t, err)
	require.Equal(t, anew, string(page), "run: go run ./cmd/chute-capacity page")
}

func TestLinesSurviveTheirFile(t *testing.T) {
	lines := measuredLines(t)
	require.NotEmpty(t, lines)
	var b strings.Builder
	require.NoError(t, WriteLines(&b, lines))
	again, err := ReadLines(strings.NewReader(b.String()))
	require.NoError(t, err)
	require.Equal(t, lines, again)
}

// The page's columns for today must be the sizes that run today.
func TestScenariosAreTheSettings(t *testing.T) {
	for file, s := range map[string]Scenario{"kalku-rinda": KalkuRinda, "regnbrunnur": Regnbrunnur} {
		d, err := settings.Load("../../deploy/" + file + "/settings.json")
		require.NoError(t, err)
		engines, inDataCentre, scopes := 0, map[string]int{}, map[string]bool{}
		for _, u := range d.Upstreams {
			if u.Kind == settings.KindEngine {
				engines++
				scopes[u.DataCentre+string(u.Fencing)] = true
			}
		}
		for _, in := range d.Instances {
			inDataCentre[in.DataCentre]++
		}
		largest := 0
		for _, n := range inDataCentre {
			largest = max(largest, n)
		}
		got := map[string]float64{
			"instances": float64(len(d.Instances)), "data_centres": float64(len(d.DataCentres)),
			"engines": float64(engines), "upstreams": float64(len(d.Upstreams)), "scopes": float64(len(scopes)),
			"dc_instances": float64(largest), "keep_s": d.Discovery.KeepSeconds, "renewals_per_s": 1 / d.Lease.RenewSeconds,
			"remember_s": d.Protected.RememberSeconds, "appends_per_s": d.Platform.AppendsPerSecond,
			"max_queued": float64(d.Admission.MaxQueued), "claim_timeout_s": d.Protected.ClaimTimeoutMillis / 1000,
		}
		for name, v := range got {
			require.InDelta(t, v, s.Values[name], 1e-9, "%s: %s", file, name)
		}
	}
}

// A made-up fleet that the programs refuse would be measured as nothing.
func TestFleetIsAccepted(t *testing.T) {
	for _, s := range []FleetSize{
		{DataCentres: 1, Instances: 1, Engines: 1, Models: 1, Network: "127.60"},
		{DataCentres: 3, Instances: 5, Engines: 40, Services: 2, Models: 2, Network: "127.60"},
	} {
		file, err := WriteFleet(t.TempDir(), s, Secrets{Peers: "a secret of this test only"})
		require.NoError(t, err)
		_, err = settings.Load(file)
		require.NoError(t, err)
	}
}
