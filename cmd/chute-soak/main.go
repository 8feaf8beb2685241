// Command chute-soak injects faults into a small site of real processes, seed after seed, and
// checks the system's promises.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tamarackchute/internal/soak"
)

// The program's exit codes.
const (
	exitOK        = 0
	exitViolation = 1
	exitUsage     = 2
	exitNotRun    = 3
)

// maxPrinted bounds the broken promises that are printed per seed.
const maxPrinted = 30

func main() { os.Exit(run()) }

func run() int {
	o := soak.Options{Profile: soak.DefaultFaultProfile()}
	flag.StringVar(&o.Program, "member", "bin/chute-member", "`path` of the daemon's program")
	folder := flag.String("folder", filepath.Join(os.TempDir(), "chute-soak"), "`folder` for settings and logs")
	first := flag.Uint64("seed", 0, "first seed; 0 derives it from the current time")
	seeds := flag.Int("seeds", 1, "number of seeds")
	jobs := flag.Int("jobs", 1, "number of seeds to run concurrently")
	flag.IntVar(&o.Daemons, "daemons", 5, "number of daemons")
	flag.IntVar(&o.Callers, "callers", 30, "number of callers")
	flag.DurationVar(&o.Profile.Length, "length", o.Profile.Length, "time in which faults begin")
	flag.DurationVar(&o.Profile.MeanInterval, "every", o.Profile.MeanInterval, "smallest mean time between two faults")
	plan := flag.String("plan", "", "`file` of a saved plan, run instead of the seed's")
	verbose := flag.Bool("v", false, "print the faults too")
	flag.Parse()
	if flag.NArg() > 0 || *seeds < 1 || *jobs < 1 {
		flag.Usage()
		return exitUsage
	}
	if *plan != "" {
		saved, err := soak.ReadPlan(*plan)
		if err != nil {
			fmt.Fprintln(os.Stderr, "chute-soak:", err)
			return exitUsage
		}
		o.Steps, o.LongPolls = saved.Steps, saved.LongPolls
		if saved.Callers > 0 {
			o.Callers = saved.Callers
		}
	}
	if *first == 0 {
		*first = uint64(time.Now().UnixNano())
	}
	// On a signal the soak ends the processes that it has started.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	results := pool.NewWithResults[result]().WithMaxGoroutines(*jobs)
	for i := range *seeds {
		results.Go(func() result { return runSeed(ctx, o, *folder, *first+uint64(i), *verbose) })
	}
	return printSummary(results.Wait())
}

// result is the outcome of one seed.
type result struct {
	broken bool
	err    error
}

func runSeed(ctx context.Context, o soak.Options, folder string, seed uint64, verbose bool) result {
	o.Seed = seed
	o.Folder = filepath.Join(folder, fmt.Sprint(seed))
	report, err := soak.Run(ctx, o)
	if err != nil {
		fmt.Printf("seed %d: not run: %v\n", seed, err)
		return result{err: err}
	}
	fmt.Printf("seed %d: %d troubles, %d broken promises, recovered after %v;", seed, len(report.Steps), len(report.Violations), report.RecoveryTime.Round(time.Millisecond))
	for _, outcome := range slices.Sorted(maps.Keys(report.Outcomes)) {
		fmt.Printf(" %s: %d;", outcome, report.Outcomes[outcome])
	}
	fmt.Println()
	if verbose {
		for _, step := range report.Steps {
			fmt.Println("  ", step)
		}
	}
	for i, v := range report.Violations {
		if i == maxPrinted {
			fmt.Printf("   … and %d more\n", len(report.Violations)-maxPrinted)
			break
		}
		fmt.Println("   BROKEN", v)
	}
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(o.Folder) // logs are kept only for failures
	} else if err := (soak.SavedPlan{Steps: report.Steps}).Write(filepath.Join(o.Folder, "plan.json")); err != nil {
		fmt.Println("  ", err)
	}
	return result{broken: len(report.Violations) > 0}
}

func printSummary(all []result) int {
	broken, failed := 0, 0
	for _, r := range all {
		if r.broken {
			broken++
		}
		if r.err != nil {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with a broken promise, %d not run\n", len(all), broken, failed)
	switch {
	case broken > 0:
		return exitViolation
	case failed > 0:
		return exitNotRun
	default:
		return exitOK
	}
}
