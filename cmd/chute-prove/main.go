// Command chute-prove runs random interleavings of the coordination protocols and fails if
// an invariant was violated or a mutant was not caught.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"

	"tamarackchute/internal/controller/interleave"
	"tamarackchute/internal/prove"
	"tamarackchute/internal/prove/claims"
)

// scenarios lists the simulated protocols.
var scenarios = []prove.Scenario{
	claims.Scenario{},
	interleave.Scenario{},
}

func main() {
	var o prove.Options
	flag.IntVar(&o.Interleavings, "interleavings", 20000, "interleavings per scenario")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the first interleaving; the others follow by one")
	flag.IntVar(&o.Workers, "workers", runtime.GOMAXPROCS(0), "interleavings at once")
	only := flag.String("only", "", "run only the scenario of that name")
	flag.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed := 0
	for _, s := range scenarios {
		if *only != "" && *only != s.Name() {
			continue
		}
		sum := prove.Run(ctx, s, o)
		sum.Print(os.Stdout)
		if !sum.OK() || sum.Interleavings < o.Interleavings {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("FAILED: %d scenarios\n", failed)
		os.Exit(1)
	}
	fmt.Println("OK")
}
