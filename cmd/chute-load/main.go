// Command chute-load sends reproducible loads to a deployment of stand-ins, checks every
// response, and runs the experiments that compare role policies.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"tamarackchute/internal/load"
	"tamarackchute/internal/settings"
)

// The program's exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// commands maps each subcommand to its function, which gets the remaining arguments.
var commands = map[string]func(context.Context, []string) error{
	"try":     try,
	"prepare": prepare,
	"run":     run,
	"table":   table,
}

func main() {
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: chute-load try|prepare|run|table [flags]")
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := commands[os.Args[1]](ctx, os.Args[2:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "chute-load:", err)
		os.Exit(exitFailed)
	}
}

// loadFlags holds the flags of the subcommands that load a deployment.
type loadFlags struct {
	settings, out, control, killed *string
	seed                           *uint64
}

// newLoadFlags declares the flags except for the seed, which subcommands declare along with
// related flags.
func newLoadFlags(f *flag.FlagSet) loadFlags {
	return loadFlags{
		settings: f.String("settings", "", "settings `file` of the deployment"),
		out:      f.String("out", "", "`folder` for the results; none are written if empty"),
		control:  f.String("control", "", "`address` of the stand-ins' control page"),
		killed:   f.String("killed", "", "`instances` killed on purpose, separated by commas"),
		seed:     new(uint64),
	}
}

func (c loadFlags) options() (load.Options, error) {
	d, err := settings.Load(*c.settings)
	if err != nil {
		return load.Options{}, err
	}
	o := load.Options{Deployment: d, Seed: *c.seed, Out: *c.out, Control: *c.control}
	if *c.killed != "" {
		o.Killed = strings.Split(*c.killed, ",")
	}
	if o.Out != "" {
		err = os.MkdirAll(o.Out, 0o755)
	}
	return o, err
}

func try(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("chute-load try", flag.ContinueOnError)
	c := newLoadFlags(f)
	c.seed = f.Uint64("seed", 1, "seed of the load")
	seconds := f.Float64("seconds", 30, "how long to send requests")
	if err := f.Parse(args); err != nil {
		return err
	}
	o, err := c.options()
	if err != nil {
		return err
	}
	s, err := load.Try(ctx, o, time.Duration(*seconds*float64(time.Second)))
	if err != nil {
		return err
	}
	return printLine(s)
}

// printLine prints the summary as one line of JSON, the last of the output.
func printLine(s load.Summary) error {
	line, err := json.Marshal(s)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}
