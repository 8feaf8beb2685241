package load

import (
	"context"
	"log/slog"
	"time"

	"tamarackchute/internal/settings"
)

// fault is one fault of a stand-in during a run.
type fault struct {
	at      time.Duration
	standin string
	body    string // JSON as the stand-ins expect it
}

// faultSchedule lists the faults of a run in chronological order.
type faultSchedule struct {
	options Options
	faults  []fault
}

// A run with faults has an outage between outageStart and outageEnd, as shares of its length:
// one engine in crashOneIn is down, and so is the log. The delay of load reports during the
// whole run is a flag of the stand-ins.
const (
	outageStart = 0.4
	outageEnd   = 0.6
	crashOneIn  = 4
)

// newFaultSchedule returns the faults of a run of the given length.
func newFaultSchedule(length time.Duration, o Options) faultSchedule {
	begin := time.Duration(outageStart * float64(length))
	end := time.Duration(outageEnd * float64(length))
	schedule := faultSchedule{options: o}
	schedule.faults = append(schedule.faults, fault{begin, "log", `{"outage":"error"}`})
	engines := engineNames(o.Deployment)
	for i := 0; i < len(engines)/crashOneIn; i++ {
		schedule.faults = append(schedule.faults, fault{begin, engines[i*crashOneIn], `{"crash":{"down_ms":-1}}`})
	}
	schedule.faults = append(schedule.faults, fault{end, "log", `{"outage":""}`})
	for i := 0; i < len(engines)/crashOneIn; i++ {
		schedule.faults = append(schedule.faults, fault{end, engines[i*crashOneIn], `{"crash":{"down_ms":0}}`})
	}
	return schedule
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
func (f faultSchedule) run(ctx context.Context) {
	client := NewClient("")
	defer client.CloseIdle()
	standins := f.options.standins(client)
	start := time.Now()
	for _, fault := range f.faults {
		if !sleepUntil(ctx, start.Add(fault.at)) {
			return
		}
		if err := standins.SetFaults(ctx, fault.standin, []byte(fault.body)); err != nil {
			slog.Error("fault not set", "part", fault.standin, "error", err)
		}
	}
}
