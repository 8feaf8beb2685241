// Command entrybench measures what an entry adds to a direct connection to an
// upstream: latency, processor time and memory. It serves as the upstreams itself,
// without any delay, so that only the entry is measured. run.sh starts the other
// processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
)

// options are the command-line flags.
type options struct {
	settings string
	instance string
	pid      int
	token    string
	rules    string
	rate     int
	length   time.Duration
	streams  int
	open     int
}

func main() {
	var o options
	flag.StringVar(&o.settings, "settings", "", "settings file of the deployment")
	flag.StringVar(&o.instance, "instance", "", "instance whose entry is measured")
	flag.IntVar(&o.pid, "pid", 0, "process id of that entry")
	flag.StringVar(&o.token, "token", "", "an operator's token")
	flag.StringVar(&o.rules, "rules", "", "rule set to publish")
	flag.IntVar(&o.rate, "rate", 2000, "plain requests a second, each way")
	flag.DurationVar(&o.length, "length", 8*time.Second, "length of a measurement")
	flag.IntVar(&o.streams, "streams", 200, "streams at a time for the cost of a token")
	flag.IntVar(&o.open, "open", 2000, "open streams for the memory")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "entrybench:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	d, err := settings.Load(o.settings)
	if err != nil {
		return err
	}
	in, ok := d.Instance(o.instance)
	if !ok {
		return eris.Errorf("the settings name no instance %q", o.instance)
	}
	t := addresses{entry: in.Callers}
	for _, u := range d.Upstreams {
		if err := serveUpstream(u.Address); err != nil {
			return err
		}
		if u.Kind == settings.KindEngine {
			t.engine = u.Address
		} else {
			t.service = u.Address
		}
	}
	if err := publish(in.Operators, o.token, o.rules); err != nil {
		return err
	}
	if err := awaitReady(t.entry); err != nil {
		return err
	}
	return measureAll(o, t)
}

// addresses are the addresses of the measured entry and of the two upstreams.
type addresses struct{ entry, engine, service string }

func measureAll(o options, t addresses) error {
	p := process{o.pid}
	idle, err := p.memory()
	if err != nil {
		return err
	}
	fmt.Printf("%-22s resident %.1f MiB\n", "idle", mib(idle))
	if err := measurePlain(o, p, "service", serviceRequest(t.service), serviceRequest(t.entry)); err != nil {
		return err
	}
	if err := measurePlain(o, p, "completion", generateRequest(t.engine), completionRequest(t.entry)); err != nil {
		return err
	}
	if err := measureTokens(o, p, t); err != nil {
		return err
	}
	return measureOpen(o, p, t)
}

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }
