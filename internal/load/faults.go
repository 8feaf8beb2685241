package load

import (
	"context"
	"log/slog"
	"time"

	"tamarackchute/internal/settings"
)

// fault is one thing that happens to a stand-in during a run.
type fault struct {
	at   time.Duration
	part string
	set  string // in the stand-ins' form
}

// faults is what happens during a run, in order of time.
type faults struct {
	options Options
	list    []fault
}

// The storm of a faulty run, as shares of its length: from begin to end, one
// engine in four is gone and the log is down. Load reports are late all along;
// that is a flag of the stand-ins.
const (
	stormBegin = 0.4
	stormEnd   = 0.6
	lostOneIn  = 4
)

// faultScript returns the faults of a run of that length.
func faultScript(length time.Duration, o Options) faults {
	begin := time.Duration(stormBegin * float64(length))
	end := time.Duration(stormEnd * float64(length))
	f := faults{options: o}
	f.list = append(f.list, fault{begin, "log", `{"outage":"error"}`})
	lost := engineNames(o.Deployment)
	for i := 0; i < len(lost)/lostOneIn; i++ {
		f.list = append(f.list, fault{begin, lost[i*lostOneIn], `{"crash":{"down_ms":-1}}`})
	}
	f.list = append(f.list, fault{end, "log", `{"outage":""}`})
	for i := 0; i < len(lost)/lostOneIn; i++ {
		f.list = append(f.list, fault{end, lost[i*lostOneIn], `{"crash":{"down_ms":0}}`})
	}
	return f
}

func engineNames(d *settings.Deployment) []string {
	var names []string
	for _, u := range d.Upstreams {
		if u.Kind == settings.KindEngine {
			names = append(names, u.Name)
		}
	}
	return names
}

// run sets the faults at their times.
func (f faults) run(ctx context.Context) {
	client := NewClient("")
	defer client.CloseIdle()
	standins := f.options.standins(client)
	start := time.Now()
	for _, one := range f.list {
		if !sleepUntil(ctx, start.Add(one.at)) {
			return
		}
		if err := standins.SetFaults(ctx, one.part, []byte(one.set)); err != nil {
			slog.Error("fault not set", "part", one.part, "error", err)
		}
	}
}
