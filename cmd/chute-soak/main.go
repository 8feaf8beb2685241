// Command chute-soak disturbs a small site of real processes, seed after seed,
// and checks what the system promises.
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
	exitOK       = 0
	exitBroken   = 1
	exitUsage    = 2
	exitNotTried = 3
)

// maxShown bounds the broken promises that are printed of a seed.
const maxShown = 30

func main() { os.Exit(run()) }

func run() int {
	o := soak.Options{Profile: soak.DefaultFaultProfile()}
	flag.StringVar(&o.Program, "member", "bin/chute-member", "`path` of the daemon's program")
	folder := flag.String("folder", filepath.Join(os.TempDir(), "chute-soak"), "`folder` for settings and logs")
	first := flag.Uint64("seed", 0, "first seed; 0 takes it from the time of day")
	seeds := flag.Int("seeds", 1, "number of seeds")
	jobs := flag.Int("jobs", 1, "seeds to run at a time")
	flag.IntVar(&o.Daemons, "daemons", 5, "number of daemons")
	flag.IntVar(&o.Callers, "callers", 30, "number of callers")
	flag.DurationVar(&o.Profile.Length, "length", o.Profile.Length, "time in which troubles begin")
	flag.DurationVar(&o.Profile.MeanInterval, "every", o.Profile.MeanInterval, "mean time between two troubles")
	plan := flag.String("plan", "", "`file` of a kept plan, played instead of the seed's")
	verbose := flag.Bool("v", false, "print the troubles too")
	flag.Parse()
	if flag.NArg() > 0 || *seeds < 1 || *jobs < 1 {
		flag.Usage()
		return exitUsage
	}
	if *plan != "" {
		kept, err := soak.ReadPlan(*plan)
		if err != nil {
			fmt.Fprintln(os.Stderr, "chute-soak:", err)
			return exitUsage
		}
		o.Steps = kept.Steps
		if kept.Callers > 0 {
			o.Callers = kept.Callers
		}
	}
	if *first == 0 {
		*first = uint64(time.Now().UnixNano())
	}
	// Interrupted, the soak ends the processes that it has started.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	results := pool.NewWithResults[result]().WithMaxGoroutines(*jobs)
	for i := range *seeds {
		results.Go(func() result { return one(ctx, o, *folder, *first+uint64(i), *verbose) })
	}
	return verdict(results.Wait())
}

// result is what became of a seed.
type result struct {
	broken bool
	err    error
}

func one(ctx context.Context, o soak.Options, folder string, seed uint64, verbose bool) result {
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
		if i == maxShown {
			fmt.Printf("   … and %d more\n", len(report.Violations)-maxShown)
			break
		}
		fmt.Println("   BROKEN", v)
	}
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(o.Folder) // only a failure's logs are worth their room
	} else if err := (soak.SavedPlan{Steps: report.Steps}).Write(filepath.Join(o.Folder, "plan.json")); err != nil {
		fmt.Println("  ", err)
	}
	return result{broken: len(report.Violations) > 0}
}

func verdict(all []result) int {
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
		return exitBroken
	case failed > 0:
		return exitNotTried
	default:
		return exitOK
	}
}
