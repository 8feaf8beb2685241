package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/capacity"
	"tamarackchute/internal/settings"
)

// fleet writes the settings of a made-up deployment.
func fleet(args []string) error {
	f := flag.NewFlagSet("chute-capacity fleet", flag.ContinueOnError)
	out := f.String("out", "", "`folder` for the settings")
	var s capacity.FleetSize
	f.IntVar(&s.DataCentres, "data-centres", 1, "number of data centres")
	f.IntVar(&s.Instances, "instances", 1, "number of instances")
	f.IntVar(&s.Engines, "engines", 1, "number of engines")
	f.IntVar(&s.Models, "models", 1, "number of models")
	f.StringVar(&s.Network, "network", "127.60", "first two bytes of the loopback addresses")
	secret := f.String("secret", "", "secret that the processes share")
	operator := f.String("operator-hash", "", "SHA-256 of the operator's token, in hex")
	if err := f.Parse(args); err != nil {
		return err
	}
	file, err := capacity.WriteFleet(*out, s, capacity.Secrets{Peers: *secret, OperatorHash: *operator})
	if err != nil {
		return err
	}
	fmt.Println(file)
	return nil
}

// watch measures running processes and adds to a file of samples. The arguments
// after the flags are entry/NAME=PID and controller/NAME=PID.
func watch(args []string) error {
	f := flag.NewFlagSet("chute-capacity watch", flag.ContinueOnError)
	file := f.String("settings", "", "settings `file` of the deployment")
	samples := f.String("samples", "", "`file` of samples to add to")
	tokenFile := f.String("token-file", "", "`file` that holds an operator's token")
	w := capacity.Watch{PIDs: map[string]int{}}
	f.StringVar(&w.Control, "control", "", "`address` of the stand-ins' control page")
	f.StringVar(&w.Series, "series", "", "what is varied, or the deployment's name")
	f.IntVar(&w.Size, "size", 0, "the size in the series")
	f.IntVar(&w.Windows, "windows", 3, "number of windows")
	f.DurationVar(&w.Window, "window", 5*time.Second, "length of a window")
	if err := f.Parse(args); err != nil {
		return err
	}
	var err error
	if w.Deployment, err = settings.Load(*file); err != nil {
		return err
	}
	token, err := os.ReadFile(*tokenFile)
	if err != nil {
		return eris.Wrap(err, "token can't be read")
	}
	w.Token = strings.TrimSpace(string(token))
	for _, arg := range f.Args() {
		name, pid, _ := strings.Cut(arg, "=")
		if w.PIDs[name], err = strconv.Atoi(pid); err != nil {
			return eris.Wrap(err, arg)
		}
	}
	all, err := w.Run(context.Background())
	if err != nil {
		return err
	}
	return capacity.AppendSamples(*samples, all)
}

// The lengths of answers and the numbers of open streams that are measured.
var (
	answerTokens = []int{1, 50, 200}
	openStreams  = []int{100, 500, 1500}
)

// streams measures an entry under streamed requests.
func streams(args []string) error {
	f := flag.NewFlagSet("chute-capacity streams", flag.ContinueOnError)
	var s capacity.Streams
	f.StringVar(&s.Entry, "entry", "", "`address` of the entry for callers")
	f.IntVar(&s.PID, "pid", 0, "its process id")
	f.StringVar(&s.Model, "model", "model-0", "model to ask for")
	samples := f.String("samples", "", "`file` of samples to add to")
	requests := f.Int("requests", 200, "requests a value")
	atOnce := f.Int("at-once", 40, "requests at a time")
	rounds := f.Int("rounds", 3, "how often each length is measured")
	open := f.Bool("open", false, "hold streams open instead, and measure memory")
	window := f.Duration("window", 3*time.Second, "length of a window with open streams")
	if err := f.Parse(args); err != nil {
		return err
	}
	ctx := context.Background()
	if *open {
		for _, n := range openStreams {
			held, err := s.Held(ctx, n, *rounds, *window)
			if err != nil {
				return err
			}
			if err := capacity.AppendSamples(*samples, held); err != nil {
				return err
			}
		}
		return nil
	}
	for range *rounds {
		for _, tokens := range answerTokens {
			v, err := s.PerToken(ctx, *requests, tokens, *atOnce)
			if err != nil {
				return err
			}
			if err := capacity.AppendSamples(*samples, []capacity.Sample{v}); err != nil {
				return err
			}
		}
	}
	return nil
}

// fit fits samples of real processes and writes their lines.
func fit(args []string) error {
	f := flag.NewFlagSet("chute-capacity fit", flag.ContinueOnError)
	samples := f.String("samples", "", "`file` of samples")
	out := f.String("out", "", "CSV `file` to write")
	if err := f.Parse(args); err != nil {
		return err
	}
	file, err := os.Open(*samples)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	all, err := capacity.ReadSamples(file)
	if err != nil {
		return err
	}
	lines, err := capacity.SampleLines(all)
	if err != nil {
		return err
	}
	for _, l := range lines {
		if l.Kind != capacity.KindPoint {
			fmt.Println(l)
		}
	}
	return write(*out, lines)
}
