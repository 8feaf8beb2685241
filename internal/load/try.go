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

// Options configure the load on one deployment.
type Options struct {
	Deployment *settings.Deployment
	Seed       uint64
	// Out is the folder for the results; if empty, none are written.
	Out string
	// Control is the address of the stand-ins' control page; if empty, each stand-in is queried.
	Control string
	// Killed names the instances that are killed on purpose during the run. The file "killed" in
	// Out may name more, one per line.
	Killed []string
}

// The number of callers of a run, and the limit on their requests in flight.
const (
	callersPerDataCentre = 8
	maxInFlight          = 4096
)

// killedFile is the file in the results' folder in which a script names the instances that it
// killed.
const killedFile = "killed"

// Try loads a deployment with a light load of all classes.
func Try(ctx context.Context, o Options, length time.Duration) (Summary, error) {
	p, err := PresetFor(o.Deployment)
	if err != nil {
		return Summary{}, err
	}
	m := p.TryMix(length)
	rec, counted, err := o.load(ctx, p.Model, m, m.Arrivals(o.Seed, o.callerCount()))
	if err != nil {
		return Summary{}, err
	}
	s := rec.Summarise(m, length, o.killedAddresses(), counted)
	if o.Out == "" {
		return s, nil
	}
	return s, rec.WriteResults(filepath.Join(o.Out, "requests.csv"))
}

func (o Options) callerCount() int { return callersPerDataCentre * len(o.Deployment.DataCentres) }

// load sends the arrivals and returns the results and the increase of the stand-ins' counters.
func (o Options) load(ctx context.Context, model string, m Mix, arrivals []Arrival) (*Recorder, Counters, error) {
	client := NewClient(model)
	defer client.CloseIdle()
	standins := o.standins(client)
	before, err := standins.Counters(ctx)
	if err != nil {
		return nil, Counters{}, err
	}
	rec := NewRecorder()
	run := Run{Mix: m, Callers: o.callerCount(), Client: client, SeedAddresses: o.seedAddresses(), MaxInFlight: maxInFlight}
	run.Do(ctx, arrivals, rec)
	after, err := standins.Counters(ctx)
	return rec, after.since(before), err
}

func (o Options) standins(c *Client) Standins {
	return Standins{Client: c.HTTP, Control: o.Control, Upstreams: o.Deployment.Upstreams}
}

// seedAddresses returns a list per data centre: the addresses of its own instances, then the
// others by distance.
func (o Options) seedAddresses() [][]string {
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

// killedAddresses returns the callers' addresses of the instances killed on purpose.
func (o Options) killedAddresses() []string {
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
