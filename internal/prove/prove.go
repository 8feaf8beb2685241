// Package prove runs random interleavings of the coordination protocols and counts, per
// invariant, how often it was checked and violated. It also runs deliberately broken
// variants (mutants), which a check must catch.
package prove

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Scenario simulates one protocol.
type Scenario interface {
	// Name is a short name for the output, for example "claim".
	Name() string
	// Mutants returns the names of the broken variants that Run implements.
	Mutants() []string
	// Run runs one interleaving, fully determined by seed, and reports its checks to r. An
	// empty mutant selects the correct protocol. Run is called concurrently, each time with
	// its own Report.
	Run(seed uint64, mutant string, r *Report)
}

// Tally counts the checks of one invariant.
type Tally struct {
	Checked, Violated int64
	// Example describes the first violation, with its seed.
	Example string
}

// Report collects the checks of interleavings. It isn't safe for concurrent use.
type Report struct {
	// Seed is the seed of the current interleaving.
	Seed       uint64
	Invariants map[string]Tally
	// Events counts the faults and outcomes of the interleavings, to show that they did
	// occur.
	Events map[string]int64
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{Invariants: map[string]Tally{}, Events: map[string]int64{}}
}

// Check counts one check of an invariant. It calls detail only if the invariant was
// violated.
func (r *Report) Check(invariant string, ok bool, detail func() string) {
	t := r.Invariants[invariant]
	t.Checked++
	if !ok {
		t.Violated++
		if t.Example == "" {
			t.Example = fmt.Sprintf("seed %d: %s", r.Seed, detail())
		}
	}
	r.Invariants[invariant] = t
}

// Event counts one occurrence of a named event.
func (r *Report) Event(name string) { r.Events[name]++ }

// Violated returns the number of violations of all invariants.
func (r *Report) Violated() int64 {
	var n int64
	for _, t := range r.Invariants {
		n += t.Violated
	}
	return n
}

func (r *Report) merge(o *Report) {
	for name, t := range o.Invariants {
		sum := r.Invariants[name]
		sum.Checked += t.Checked
		sum.Violated += t.Violated
		sum.Example = cmp.Or(sum.Example, t.Example)
		r.Invariants[name] = sum
	}
	for name, n := range o.Events {
		r.Events[name] += n
	}
}

// Options configures a run.
type Options struct {
	// Interleavings is the number of interleavings per scenario. It is also the limit for
	// each mutant, whose run ends with the first interleaving that catches it.
	Interleavings int
	// Seed is the seed of the first interleaving; the others follow by one.
	Seed uint64
	// Workers is how many run at once.
	Workers int
}

// MutantResult is the outcome of running one mutant.
type MutantResult struct {
	Name   string
	Caught bool
	// Interleavings is the number of interleavings that were run.
	Interleavings int
	// ViolatedInvariants lists the invariants violated by the interleaving that caught the
	// mutant.
	ViolatedInvariants []string
}

// Summary is the result of running one scenario.
type Summary struct {
	Scenario      string
	Interleavings int
	Elapsed       time.Duration
	Report        *Report
	Mutants       []MutantResult
}

// OK reports whether invariants were checked, none was violated and every mutant was
// caught.
func (s Summary) OK() bool {
	caught := !slices.ContainsFunc(s.Mutants, func(m MutantResult) bool { return !m.Caught })
	return caught && s.Report.Violated() == 0 && len(s.Report.Invariants) > 0
}

// Run runs the scenario's interleavings and then its mutants. It stops early when ctx ends;
// the summary then counts the completed interleavings.
func Run(ctx context.Context, s Scenario, o Options) Summary {
	start := time.Now()
	sum := Summary{Scenario: s.Name(), Report: NewReport()}
	sum.Interleavings = runAll(ctx, s, o, sum.Report)
	sum.Mutants = runMutants(ctx, s, o)
	sum.Elapsed = time.Since(start)
	return sum
}

func runAll(ctx context.Context, s Scenario, o Options, into *Report) int {
	var mu sync.Mutex
	ran := 0
	p := pool.New().WithMaxGoroutines(max(o.Workers, 1))
	const chunk = 100
	for first := 0; first < o.Interleavings; first += chunk {
		p.Go(func() {
			r, n := NewReport(), 0
			for i := first; i < min(first+chunk, o.Interleavings) && ctx.Err() == nil; i++ {
				r.Seed = o.Seed + uint64(i)
				s.Run(r.Seed, "", r)
				n++
			}
			mu.Lock()
			defer mu.Unlock()
			into.merge(r)
			ran += n
		})
	}
	p.Wait()
	return ran
}

func runMutants(ctx context.Context, s Scenario, o Options) []MutantResult {
	names := s.Mutants()
	results := make([]MutantResult, len(names))
	p := pool.New().WithMaxGoroutines(max(o.Workers, 1))
	for i, name := range names {
		p.Go(func() { results[i] = runMutant(ctx, s, o, name) })
	}
	p.Wait()
	return results
}

func runMutant(ctx context.Context, s Scenario, o Options, name string) MutantResult {
	m := MutantResult{Name: name}
	for i := 0; i < o.Interleavings && ctx.Err() == nil; i++ {
		r := NewReport()
		r.Seed = o.Seed + uint64(i)
		s.Run(r.Seed, name, r)
		m.Interleavings = i + 1
		if r.Violated() == 0 {
			continue
		}
		m.Caught = true
		for _, inv := range slices.Sorted(maps.Keys(r.Invariants)) {
			if r.Invariants[inv].Violated > 0 {
				m.ViolatedInvariants = append(m.ViolatedInvariants, inv)
			}
		}
		return m
	}
	return m
}

// Print writes the summary as text.
func (s Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: %d interleavings in %.1f s\n", s.Scenario, s.Interleavings, s.Elapsed.Seconds())
	for _, name := range slices.Sorted(maps.Keys(s.Report.Invariants)) {
		t := s.Report.Invariants[name]
		fmt.Fprintf(w, "  %-58s checked %9d  violated %d\n", name, t.Checked, t.Violated)
		if t.Violated > 0 {
			fmt.Fprintf(w, "    first: %s\n", t.Example)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Report.Events)) {
		fmt.Fprintf(w, "  event %-52s %d\n", name, s.Report.Events[name])
	}
	caught := 0
	for _, m := range s.Mutants {
		verdict := "MISSED"
		if m.Caught {
			verdict = "caught"
			caught++
		}
		fmt.Fprintf(w, "  mutant %-40s %s after %d, by %v\n", m.Name, verdict, m.Interleavings, m.ViolatedInvariants)
	}
	fmt.Fprintf(w, "  mutants caught %d of %d\n", caught, len(s.Mutants))
}
