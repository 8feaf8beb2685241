// Command chute-standin runs stand-ins for the system's environment: the platform's log,
// instance list and weight store, model engines and plain services. It is for tests and
// trials.
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

// Exit codes.
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
	slog.Info("stand-ins started", "parts", len(set.Components()), "control", set.ControlAddr())
	if err := set.Serve(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "chute-standin:", err)
		return exitFailed
	}
	return exitOK
}

// parse parses the command line and loads the settings file.
func parse(args []string) (standin.Config, error) {
	c := standin.Config{Speed: standin.DefaultSpeed()}
	f := flag.NewFlagSet("chute-standin", flag.ContinueOnError)
	file := f.String("settings", "", "settings `file` of the deployment")
	only := f.String("only", "", "components to run: platform and `names` of upstreams, separated by commas; all if empty")
	f.StringVar(&c.ControlAddr, "control", "", "`address` of the control API; none if empty")
	f.Float64Var(&c.LogAppendsPerSecond, "log-rate", standin.DefaultLogAppendsPerSecond, "append rate limit of the log per second")
	f.DurationVar(&c.Retention, "retention", 0, "how long the log keeps a record; 0 for the value from the settings")
	f.DurationVar(&c.ListLag, "list-lag", standin.DefaultListLag, "how long the list of instances takes to show a change")
	f.DurationVar(&c.ServiceLatency, "service-latency", standin.DefaultServiceLatency, "duration of a call to a plain service")
	f.Int64Var(&c.WeightBytes, "weight-bytes", standin.DefaultWeightBytes, "size of each version of a model in bytes")
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
	f.Float64Var(&s.PrefillPerSecond, "prefill-rate", s.PrefillPerSecond, "prompt tokens per second at full efficiency")
	f.DurationVar(&s.MinStepTime, "step-first", s.MinStepTime, "duration of a decode step at batch size 1")
	f.DurationVar(&s.MaxStepTime, "step-full", s.MaxStepTime, "duration of a decode step at the largest batch size")
	f.IntVar(&s.MaxBatch, "max-batch", s.MaxBatch, "largest batch size")
	f.IntVar(&s.KVTokens, "kv-tokens", s.KVTokens, "KV memory of an engine in tokens")
	f.Int64Var(&s.KVBytesPerToken, "kv-bytes-per-token", s.KVBytesPerToken, "bytes of KV cache per token, for KV transfers")
	f.Float64Var(&s.KVBytesPerSecond, "kv-bytes-per-s", s.KVBytesPerSecond, "bandwidth of a KV transfer in bytes per second")
	f.DurationVar(&s.ChangeDuration, "change", s.ChangeDuration, "how long a role change takes an engine out of service")
	f.DurationVar(&s.LoadLag, "load-lag", s.LoadLag, "age of load reports")
	f.DurationVar(&s.EventLag, "event-lag", s.EventLag, "delay of cache events")
	f.Float64Var(&s.EventLoss, "event-loss", s.EventLoss, "fraction of cache events that are lost")
}
