// Package claims simulates the at-most-once claims. Several processes, each with the
// production claim.Core and its own position in one log, are stepped in random order, with
// every fault of the platform and the machines possible between any two steps. The
// invariants are checked from the callers' and the upstream's side.
package claims

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackchute/claim"
	"tamarackchute/internal/prove"
)

// The mutants.
const (
	mutantDispatchBeforeClaim  = "dispatch before claim"
	mutantRefuseWithoutLatch   = "not run after lost reply, without latch"
	mutantSecondClaimRuns      = "second claim may run"
	mutantForeignWithdrawal    = "claim withdrawn by anybody"
	mutantNoClockCheck         = "no look at the clock before dispatch"
	mutantTrustAfterExpiry     = "history trusted after records expired"
	mutantOverstatedCheckpoint = "checkpoint claims to cover more than it does"
	mutantNoOutcomeIsNotRun    = "no outcome taken as not run"
)

// expectedViolation maps each mutant to the invariant that must catch it: the harm that it
// does, not a side effect.
var expectedViolation = map[string]string{
	mutantDispatchBeforeClaim:  invariantAtMostOnce,
	mutantRefuseWithoutLatch:   invariantNotRunIsTrue,
	mutantSecondClaimRuns:      invariantAtMostOnce,
	mutantForeignWithdrawal:    invariantAtMostOnce,
	mutantNoClockCheck:         invariantAtMostOnce,
	mutantTrustAfterExpiry:     invariantAtMostOnce,
	mutantOverstatedCheckpoint: invariantAtMostOnce,
	mutantNoOutcomeIsNotRun:    invariantNotRunOwnClaim,
}

// Scenario simulates claims; it implements prove.Scenario.
type Scenario struct{}

var _ prove.Scenario = Scenario{}

// Name implements prove.Scenario.
func (Scenario) Name() string { return "claim" }

// Mutants implements prove.Scenario.
func (Scenario) Mutants() []string { return slices.Sorted(maps.Keys(expectedViolation)) }

// Size of an interleaving.
const (
	processes = 3
	maxSteps  = 900
)

// config holds the protocol's timing, in proportions like those of the settings.
var config = claim.Config{
	ClaimTimeout: 2 * time.Second,
	MaxClaimAge:  4 * time.Second,
	MaxDispatch:  6 * time.Second,
	KeyTTL:       10 * time.Minute,
	Retention:    time.Minute,
	KeySkew:      20 * time.Second,
	// Some responses exceed this and are not recorded.
	MaxRecordedBytes: 40,
}

// Run implements prove.Scenario.
func (Scenario) Run(seed uint64, mutant string, r *prove.Report) {
	w := newWorld(rand.New(rand.NewPCG(seed, 0)), mutant, r)
	steps := maxSteps/2 + w.rng.IntN(maxSteps/2)
	for range steps {
		w.step()
	}
	w.finish()
}

// world simulates everything outside the processes: the log, the upstream, the network, the
// callers and time.
type world struct {
	rng    *rand.Rand
	mutant string
	report *prove.Report

	now     time.Time
	log     simLog
	procs   []*process
	network []*dispatchedRequest
	keys    []*key
	// fingerprints maps each record's offset to the state fingerprint of the complete
	// readers that have applied it.
	fingerprints map[uint64]uint64
	// claims maps each attempt to its owner.
	claims   map[claim.AttemptID]claimOwner
	attempts uint64
	runs     int
	// faultsEnded disables all faults.
	faultsEnded bool
}

type claimOwner struct {
	writer string
	owner  *process
	key    *key
	digest uint64
}

func newWorld(rng *rand.Rand, mutant string, r *prove.Report) *world {
	w := &world{
		rng:          rng,
		mutant:       mutant,
		report:       r,
		now:          time.Unix(1_700_000_000, 0),
		log:          simLog{oldest: 1},
		fingerprints: map[uint64]uint64{},
		claims:       map[claim.AttemptID]claimOwner{},
	}
	for i := range processes {
		p := &process{world: w, index: i}
		p.start()
		w.procs = append(w.procs, p)
	}
	return w
}

// newAttempt returns an attempt ID that is reproducible from the seed.
func (w *world) newAttempt() (a claim.AttemptID) {
	w.attempts++
	binary.BigEndian.PutUint64(a[:], w.attempts)
	return a
}

// check counts a check. For a mutant, only the invariant that must catch it counts.
func (w *world) check(invariant string, ok bool, detail func() string) {
	if w.mutant == "" || expectedViolation[w.mutant] == invariant {
		w.report.Check(invariant, ok, detail)
	}
}

// chance returns true with a probability of percent in 100.
func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

// randDuration returns a random duration from lo to below hi.
func (w *world) randDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)))
}

// pick returns a random element, or the zero value if there is none.
func pick[T any](w *world, from []T) (t T) {
	if len(from) == 0 {
		return t
	}
	return from[w.rng.IntN(len(from))]
}

// step performs one random action.
func (w *world) step() {
	w.now = w.now.Add(w.randDuration(0, 15*time.Millisecond))
	switch n := w.rng.IntN(100); {
	case n < 75:
		if p := pick(w, w.procs); p.running() {
			p.step()
		}
	case n < 83:
		w.deliver()
	case n < 92:
		w.stepCaller()
	case n < 95:
		w.log.writeDelayed(w)
	default:
		w.fault()
	}
}

// fault injects or ends a random fault.
func (w *world) fault() {
	p := pick(w, w.procs)
	switch n := w.rng.IntN(100); {
	case w.log.down && n < 50:
		w.log.down = false
	case p.killed && n < 80:
		p.start()
	case n < 8:
		w.log.down = true
		w.report.Event("log outage")
	case n < 20:
		w.now = w.now.Add(w.randDuration(100*time.Millisecond, 5*time.Second))
	case n < 23:
		w.now = w.now.Add(w.randDuration(10*time.Second, config.Retention))
	case n < 25:
		w.now = w.now.Add(w.randDuration(config.KeyTTL/2, 2*config.KeyTTL))
	case n < 45:
		w.log.trim(w)
	case n < 60:
		p.pausedUntil = w.now.Add(w.randDuration(50*time.Millisecond, time.Second))
		w.report.Event("process paused")
	case n < 66:
		p.pausedUntil = w.now.Add(w.randDuration(time.Second, 10*time.Second))
		w.report.Event("process paused for longer than a claim may take")
	case n < 68:
		p.pausedUntil = w.now.Add(w.randDuration(config.Retention, 2*config.KeyTTL))
		w.report.Event("process paused for longer than the log keeps records")
	case n < 75 && !p.killed:
		p.killed = true
		w.report.Event("process killed")
	}
}

// finish ends the faults, runs until nothing is pending and checks the final invariants.
func (w *world) finish() {
	w.faultsEnded = true
	w.log.down = false
	for _, p := range w.procs {
		p.pausedUntil = time.Time{}
		if p.killed {
			p.start()
		}
	}
	for range 200 {
		w.runRound(200 * time.Millisecond)
	}
	w.checkAllAnswered()
	w.checkGapsClose()
	w.checkFreshKeyRuns()
	w.checkRefusedKeysRun()
}

// runRound advances time by d, delivers everything in transit and lets every process do all
// its pending work.
func (w *world) runRound(d time.Duration) {
	w.now = w.now.Add(d)
	for len(w.log.delayed) > 0 {
		w.log.writeDelayed(w)
	}
	for range len(w.network) {
		w.deliver()
	}
	for _, p := range w.procs {
		p.stepAll()
	}
}
