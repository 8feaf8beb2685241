package soak

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is a kind of trouble.
type FaultKind string

// The kinds of trouble.
const (
	KillDaemon        FaultKind = "kill-daemon"
	StopDaemon        FaultKind = "stop-daemon"
	PauseDaemon       FaultKind = "pause-daemon"
	ReloadDaemon      FaultKind = "reload-daemon"
	FailStore         FaultKind = "store-fails"
	DropHistory       FaultKind = "drop-history"
	RestoreStore      FaultKind = "store-restore"
	DisturbStoreLink  FaultKind = "store-link"
	DisturbServerLink FaultKind = "server-link"
	FailNextRequests  FaultKind = "server-faults"
	FailAllRequests   FaultKind = "server-fails"
	CrashServer       FaultKind = "crash-server"
	DrainServer       FaultKind = "server-leaves"
	RestartServer     FaultKind = "restart-server"
	WriteForeignEntry FaultKind = "foreign-entry"
	PublishVersion    FaultKind = "publish"
)

// Step is one trouble of a run.
type Step struct {
	At   time.Duration
	Kind FaultKind
	// Target picks the daemon or server; it is taken modulo their number.
	Target int
	// Variant picks among the forms of a kind, modulo their number.
	Variant int
	For     time.Duration
}

// Kept is a plan that has shown a fault, kept to be played again. A seed alone
// would stand for other steps as soon as a kind of trouble is added.
type SavedPlan struct {
	// Cause is what was found.
	Cause string
	// Callers is how many it takes; 0 leaves it to the run.
	Callers int `json:",omitempty"`
	Steps   []Step
}

// ReadKept reads a plan's file.
func ReadPlan(file string) (SavedPlan, error) {
	var k SavedPlan
	text, err := os.ReadFile(file)
	if err != nil {
		return k, eris.Wrap(err, "plan")
	}
	return k, eris.Wrapf(json.Unmarshal(text, &k), "plan %s", file)
}

// Write writes the plan's file.
func (k SavedPlan) Write(file string) error {
	text, err := json.MarshalIndent(k, "", " ")
	if err != nil {
		return eris.Wrap(err, "plan")
	}
	return eris.Wrap(os.WriteFile(file, append(text, '\n'), settingsMode), "plan")
}

// String describes the step for reports.
func (s Step) String() string {
	return fmt.Sprintf("%v %s target %d variant %d for %v", s.At, s.Kind, s.Target, s.Variant, s.For)
}

// Shape says how much trouble a run has.
type FaultProfile struct {
	// Length is the time in which steps begin. The mean time between two is drawn
	// between Every and slowest times that: with the former several overlap all
	// the time, with the latter there are calm times between them, in which the
	// promises that hold in time can be asked for. A step lasts up to Longest.
	Length, MeanInterval, MaxDuration time.Duration
}

// slowest is the greatest mean time between two steps, in multiples of the least.
const slowest = 8

// maxVersions bounds the configurations of a run: each is known by a pool of
// its own.
const maxVersions = 8

// weights say how often a kind comes, in parts of their sum. Kinds whose target
// is one of many come more often than those that hit the whole site.
var weights = []struct {
	kind   FaultKind
	weight int
}{
	{KillDaemon, 3}, {StopDaemon, 4}, {PauseDaemon, 3}, {ReloadDaemon, 3},
	{FailStore, 2}, {DropHistory, 1}, {RestoreStore, 2}, {DisturbStoreLink, 3},
	{DisturbServerLink, 3}, {FailNextRequests, 6}, {FailAllRequests, 5}, {CrashServer, 2}, {DrainServer, 3}, {RestartServer, 2}, {WriteForeignEntry, 2}, {PublishVersion, 2},
}

// NewPlan draws the steps of a run. The same seed and shape give the same steps.
func NewPlan(seed uint64, shape FaultProfile) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	every := float64(shape.MeanInterval) * math.Pow(slowest, rng.Float64())
	var steps []Step
	versions := 1
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * every)
		if at >= shape.Length {
			return steps
		}
		step := Step{
			At: at.Round(time.Millisecond), Kind: drawKind(rng), Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16),
			For: drawLength(rng, shape.MaxDuration),
		}
		if step.Kind == PublishVersion {
			if versions == maxVersions {
				continue
			}
			versions++
		}
		steps = append(steps, step)
	}
}

func drawKind(rng *rand.Rand) FaultKind {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	n := rng.IntN(sum)
	i := slices.IndexFunc(weights, func(w struct {
		kind   FaultKind
		weight int
	}) bool {
		n -= w.weight
		return n < 0
	})
	return weights[i].kind
}

// drawLength draws short lengths as often as long ones, by magnitude.
func drawLength(rng *rand.Rand, longest time.Duration) time.Duration {
	shift := rng.IntN(4)
	return time.Duration(rng.Int64N(int64(longest>>shift))) + 50*time.Millisecond
}
