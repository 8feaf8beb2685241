// Command chute-standin runs stand-ins for what surrounds the system: the
// platform's log, list and weight store, model engines and plain services.
// It is for tests and trials.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
	"tamarackchute/internal/standin"
)

// The program's exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	config, err := parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "chute-standin:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	set, err := standin.NewSet(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chute-standin:", err)
		return exitFailed
	}
	slog.Info("stand-ins are up", "parts", len(set.Components()), "control", set.ControlAddr())
	if err := set.Serve(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "chute-standin:", err)
		return exitFailed
	}
	return exitOK
}

// parse reads the command line and the settings file.
func parse(args []string) (standin.Config, error) {
	c := standin.Config{Speed: standin.DefaultSpeed()}
	f := flag.NewFlagSet("chute-standin", flag.ContinueOnError)
	file := f.String("settings", "", "settings `file` of the deployment")
	only := f.String("only", "", "parts to run: platform and `names` of upstreams, by commas; all if empty")
	f.StringVar(&c.ControlAddr, "control", "", "`address` of the page for all parts; none if empty")
	f.Float64Var(&c.LogAppendsPerSecond, "log-rate", standin.DefaultLogAppendsPerSecond, "appends a second that the log takes")
	f.DurationVar(&c.Retention, "retention", 0, "how long the log keeps a record; 0 for what the settings say")
	f.DurationVar(&c.ListLag, "list-lag", standin.DefaultListLag, "how far the list of instances is behind")
	f.DurationVar(&c.ServiceLatency, "service-latency", standin.DefaultServiceLatency, "how long a call to a plain service runs")
	f.Int64Var(&c.WeightBytes, "weight-bytes", standin.DefaultWeightBytes, "size of a model's version in bytes")
	speedFlags(f, &c.Speed)
	if err := f.Parse(args); err != nil {
		return c, err
	}
	if *file == "" || f.NArg() > 0 {
		return c, eris.New("usage: chute-standin -settings FILE [flags]")
	}
	deployment, err := settings.Load(*file)
	if err != nil {
		return c, err
	}
	c.Deployment = deployment
	if *only != "" {
		c.Only = strings.Split(*only, ",")
	}
	c.TLS, err = deployment.Security.ServerTLS()
	if err != nil {
		return c, err
	}
	c.ClientTLS, err = deployment.Security.ClientTLS()
	return c, err
}

func speedFlags(f *flag.FlagSet, s *standin.Speed) {
	f.Float64Var(&s.Scale, "scale", s.Scale, "multiplies every speed of the engines")
	f.Float64Var(&s.PrefillPerSec, "prefill-rate", s.PrefillPerSec, "prompt tokens a second at full efficiency")
	f.DurationVar(&s.MinStepTime, "step-first", s.MinStepTime, "decode step at batch size 1")
	f.DurationVar(&s.MaxStepTime, "step-full", s.MaxStepTime, "decode step at the largest batch")
	f.IntVar(&s.MaxBatch, "max-batch", s.MaxBatch, "sequences in a batch")
	f.IntVar(&s.KVTokens, "kv-tokens", s.KVTokens, "KV memory of an engine in tokens")
	f.Int64Var(&s.KVBytesPerToken, "kv-bytes-per-token", s.KVBytesPerToken, "size of KV cache, for its transfer")
	f.Float64Var(&s.KVBytesPerSec, "kv-bytes-per-s", s.KVBytesPerSec, "speed of a KV transfer")
	f.DurationVar(&s.ChangeDuration, "change", s.ChangeDuration, "how long a change of role takes an engine out of service")
	f.DurationVar(&s.LoadLag, "load-lag", s.LoadLag, "how old load reports are")
	f.DurationVar(&s.EventLag, "event-lag", s.EventLag, "how late cache events are")
	f.Float64Var(&s.EventLoss, "event-loss", s.EventLoss, "fraction of cache events that are lost")
}
