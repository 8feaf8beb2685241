package load

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"tamarackchute/internal/settings"
)

// Options says how to load one deployment.
type Options struct {
	Deployment *settings.Deployment
	Seed       uint64
	// Out is the folder for the results; "" writes none.
	Out string
	// Control is the stand-ins' control page; "" asks each part.
	Control string
	// Killed names the instances that are killed on purpose during the run.
	// The file "killed" in Out may name more, one a line.
	Killed []string
}

// The callers of a run, and how many of their requests may be in flight.
const (
	callersPerDataCentre = 8
	maxInFlight          = 4096
)

// killedFile names, in the results' folder, the instances that a script killed.
const killedFile = "killed"

// Try loads a deployment with a little of everything for a while.
func Try(ctx context.Context, o Options, length time.Duration) (Summary, error) {
	p, err := PresetFor(o.Deployment)
	if err != nil {
		return Summary{}, err
	}
	m := p.TryMix(length)
	rec, counted, err := o.load(ctx, p.Model, m, m.Arrivals(o.Seed, o.callers()))
	if err != nil {
		return Summary{}, err
	}
	s := rec.Summarise(m, length, o.killed(), counted)
	if o.Out == "" {
		return s, nil
	}
	return s, rec.WriteResults(filepath.Join(o.Out, "requests.csv"))
}

func (o Options) callers() int { return callersPerDataCentre * len(o.Deployment.DataCentres) }

// load sends the arrivals and returns the results and what the stand-ins
// counted meanwhile.
func (o Options) load(ctx context.Context, model string, m Mix, arrivals []Arrival) (*Recorder, Counters, error) {
	client := NewClient(model)
	defer client.CloseIdle()
	standins := o.standins(client)
	before, err := standins.Counters(ctx)
	if err != nil {
		return nil, Counters{}, err
	}
	rec := NewRecorder()
	run := Run{Mix: m, Callers: o.callers(), Client: client, SeedAddresses: o.seeds(), MaxInFlight: maxInFlight}
	run.Do(ctx, arrivals, rec)
	after, err := standins.Counters(ctx)
	return rec, after.minus(before), err
}

func (o Options) standins(c *Client) Standins {
	return Standins{Client: c.HTTP, Control: o.Control, Upstreams: o.Deployment.Upstreams}
}

// seeds gives each data centre's callers the addresses of its own instances
// first and then the others'.
func (o Options) seeds() [][]string {
	var out [][]string
	for _, dc := range o.Deployment.DataCentres {
		var addresses []string
		for _, near := range o.Deployment.Nearest(dc.Name) {
			for _, in := range o.Deployment.Instances {
				if in.DataCentre == near {
					addresses = append(addresses, in.Callers)
				}
			}
		}
		out = append(out, addresses)
	}
	return out
}

// killed returns the callers' addresses of the instances killed on purpose.
func (o Options) killed() []string {
	names := o.Killed
	if f, err := os.Open(filepath.Join(o.Out, killedFile)); err == nil {
		defer func() { _ = f.Close() }()
		for in := bufio.NewScanner(f); in.Scan(); {
			names = append(names, strings.TrimSpace(in.Text()))
		}
	}
	var out []string
	for _, name := range names {
		if in, ok := o.Deployment.Instance(name); ok {
			out = append(out, in.Callers)
		}
	}
	return out
}
