// Package claims puts the at-most-once claims under proof: several processes,
// each the real claim.Core over its own reading of one log, are stepped in a
// random order, and every fault that the platform and the machines may show is
// put between any two steps. The checks are made from the callers' and the
// upstream's side.
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

// The broken variants.
const (
	dispatchBeforeClaim  = "dispatch before claim"
	refuseWithoutLatch   = "not run after lost reply, without latch"
	secondClaimRuns      = "second claim may run"
	anybodyWithdraws     = "claim withdrawn by anybody"
	noLookBeforeDispatch = "no look at the clock before dispatch"
	trustAfterExpiry     = "history trusted after records expired"
	checkpointTooFar     = "checkpoint claims to cover more than it does"
	silenceIsNotRun      = "no outcome taken as not run"
)

// mustViolate names the invariant that a broken variant must be caught by: the
// harm that it does, not a side effect.
var mustViolate = map[string]string{
	dispatchBeforeClaim:  atMostOnce,
	refuseWithoutLatch:   notRunIsTrue,
	secondClaimRuns:      atMostOnce,
	anybodyWithdraws:     atMostOnce,
	noLookBeforeDispatch: atMostOnce,
	trustAfterExpiry:     atMostOnce,
	checkpointTooFar:     atMostOnce,
	silenceIsNotRun:      notRunKnows,
}

// Scenario implements prove.Scenario.
type Scenario struct{}

var _ prove.Scenario = Scenario{}

// Name implements prove.Scenario.
func (Scenario) Name() string { return "claim" }

// Mutants implements prove.Scenario.
func (Scenario) Mutants() []string { return slices.Sorted(maps.Keys(mustViolate)) }

// Sizes of an interleaving.
const (
	processes = 3
	maxSteps  = 900
)

// Times of the protocol, small against each other's bounds as in settings.
var config = claim.Config{
	ClaimTimeout: 2 * time.Second,
	MaxClaimAge:  4 * time.Second,
	MaxDispatch:  6 * time.Second,
	KeyTTL:       10 * time.Minute,
	Retention:    time.Minute,
	KeySkew:      20 * time.Second,
	// Some answers are too large to be kept.
	MaxRecordedBytes: 40,
}

// Run implements prove.Scenario.
func (Scenario) Run(seed uint64, mutant string, r *prove.Report) {
	w := newWorld(rand.New(rand.NewPCG(seed, 0)), mutant, r)
	steps := maxSteps/2 + w.rng.IntN(maxSteps/2)
	for range steps {
		w.step()
	}
	w.settle()
}

// world is everything outside the processes: the log, the upstream, the
// network, the callers, and time.
type world struct {
	rng    *rand.Rand
	mutant string
	report *prove.Report

	now     time.Time
	log     simLog
	procs   []*process
	network []*request
	keys    []*key
	// prints holds the fingerprint of complete readers after each record.
	prints map[uint64]uint64
	// claims tells of each attempt whose it is.
	claims   map[claim.AttemptID]claimInfo
	attempts uint64
	runs     int
	// calm ends the faults.
	calm bool
}

type claimInfo struct {
	writer string
	owner  *process
	key    *key
	digest uint64
}

func newWorld(rng *rand.Rand, mutant string, r *prove.Report) *world {
	w := &world{
		rng:    rng,
		mutant: mutant,
		report: r,
		now:    time.Unix(1_700_000_000, 0),
		log:    simLog{oldest: 1},
		prints: map[uint64]uint64{},
		claims: map[claim.AttemptID]claimInfo{},
	}
	for i := range processes {
		p := &process{world: w, index: i}
		p.start()
		w.procs = append(w.procs, p)
	}
	return w
}

// newAttempt makes attempt ids that a seed repeats.
func (w *world) newAttempt() (a claim.AttemptID) {
	w.attempts++
	binary.BigEndian.PutUint64(a[:], w.attempts)
	return a
}

// check counts a check. For a broken variant only that one counts by which it
// must be caught.
func (w *world) check(invariant string, ok bool, detail func() string) {
	if w.mutant == "" || mustViolate[w.mutant] == invariant {
		w.report.Check(invariant, ok, detail)
	}
}

// chance is true with a probability of percent in 100.
func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

// between returns a random time from lo to hi.
func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)))
}

// pick returns a random element, or the zero value if there is none.
func pick[T any](w *world, from []T) (t T) {
	if len(from) == 0 {
		return t
	}
	return from[w.rng.IntN(len(from))]
}

// step lets one thing happen.
func (w *world) step() {
	w.now = w.now.Add(w.between(0, 15*time.Millisecond))
	switch n := w.rng.IntN(100); {
	case n < 75:
		if p := pick(w, w.procs); p.running() {
			p.act()
		}
	case n < 83:
		w.arrive()
	case n < 92:
		w.callerActs()
	case n < 95:
		w.log.land(w)
	default:
		w.fault()
	}
}

// fault lets something go wrong, or well again.
func (w *world) fault() {
	p := pick(w, w.procs)
	switch n := w.rng.IntN(100); {
	case w.log.down && n < 50:
		w.log.down = false
	case p.dead && n < 80:
		p.start()
	case n < 8:
		w.log.down = true
		w.report.Event("outage of the log")
	case n < 20:
		w.now = w.now.Add(w.between(100*time.Millisecond, 5*time.Second))
	case n < 23:
		w.now = w.now.Add(w.between(10*time.Second, config.Retention))
	case n < 25:
		w.now = w.now.Add(w.between(config.KeyTTL/2, 2*config.KeyTTL))
	case n < 45:
		w.log.trim(w)
	case n < 60:
		p.pausedUntil = w.now.Add(w.between(50*time.Millisecond, time.Second))
		w.report.Event("process paused")
	case n < 66:
		p.pausedUntil = w.now.Add(w.between(time.Second, 10*time.Second))
		w.report.Event("process paused for longer than a claim may take")
	case n < 68:
		p.pausedUntil = w.now.Add(w.between(config.Retention, 2*config.KeyTTL))
		w.report.Event("process paused for longer than the log keeps records")
	case n < 75 && !p.dead:
		p.dead = true
		w.report.Event("process killed")
	}
}

// settle ends the faults and lets everything come to rest; then it checks what
// must be true at rest.
func (w *world) settle() {
	w.calm = true
	w.log.down = false
	for _, p := range w.procs {
		p.pausedUntil = time.Time{}
		if p.dead {
			p.start()
		}
	}
	for range 200 {
		w.round(200 * time.Millisecond)
	}
	w.checkAllAnswered()
	w.checkGapsClose()
	w.checkFreshKeyRuns()
	w.checkRefusedKeysRun()
}

// round lets every process and the network do all that is to be done.
func (w *world) round(d time.Duration) {
	w.now = w.now.Add(d)
	for len(w.log.late) > 0 {
		w.log.land(w)
	}
	for range len(w.network) {
		w.arrive()
	}
	for _, p := range w.procs {
		p.actAll()
	}
}
