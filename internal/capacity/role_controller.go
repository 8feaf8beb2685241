package capacity

import (
	"time"

	"tamarackchute/internal/controller"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/wire"
	"tamarackchute/journal"
	"tamarackchute/rolepolicy"
	"tamarackchute/upstream"
)

// controllerExperiments measure what a leader does beside its orders.
func controllerExperiments() []Experiment {
	engines := []int{8, 11, 500, 2000, 6900}
	return []Experiment{
		{
			ID: "controller.statuses", Unit: Bytes, Per: "entry", Method: MethodHeap, Sizes: instanceSizes,
			Measure: func(n int) (float64, error) {
				d := instanceFleet(n)
				return heapOf(func() any { return statusesOf(d, 1) }), nil
			},
		},
		{
			ID: "controller.status_in", Unit: Nanos, Per: "entry", Method: MethodCPU, Sizes: instanceSizes,
			Measure: measureStatusIn,
		},
		{
			ID: "controller.drained", Unit: Nanos, Per: "entry", Method: MethodCPU, Sizes: instanceSizes,
			Measure: measureDrained,
		},
		{
			ID: "role.decide", Unit: Nanos, Per: "engine", Method: MethodCPU, Sizes: engines,
			Measure: func(n int) (float64, error) { return measureDecide(n, targetDemandRows) },
		},
		{
			ID: "role.demand", Unit: Nanos, Per: "row", Method: MethodCPU, Sizes: []int{42, 1000, 10_200},
			Measure: func(n int) (float64, error) { return measureDecide(100, n) },
		},
		{
			ID: "role.state", Unit: Bytes, Per: "engine", Method: MethodHeap, Sizes: engines,
			Measure: func(n int) (float64, error) {
				return heapOf(func() any { return picture(n, 0, time.Now()) }), nil
			},
		},
	}
}

// targetDemandRows keeps the part of the entries in role.decide small; its own
// cost is role.demand.
const targetDemandRows = 42

// entryStatus is the status of an entry with requests on so many engines.
func entryStatus(in settings.Instance, seq uint64, busy int) wire.EntryStatus {
	s := wire.EntryStatus{
		Instance: in.Name, DataCentre: in.DataCentre, Incarnation: 1_790_000_000_000, Seq: seq,
		Applied: journal.Position{Offset: 123_456_789, Index: 3}, At: time.Now(),
	}
	for i := range busy {
		s.InFlight = append(s.InFlight, wire.EngineInFlight{Engine: engineName(i), Requests: 1 + i%4})
	}
	for i := range targetSize.Models {
		s.Demand = append(s.Demand, wire.ModelDemand{
			Model: model(i), PromptTokensPerSec: 1234.5, OutputTokensPerSec: 678.9, RequestsPerSec: 7.35,
		})
	}
	return s
}

func statusesOf(d *settings.Deployment, seq uint64) *controller.Statuses {
	s := controller.NewStatuses()
	for _, in := range d.Instances {
		s.Take(entryStatus(in, seq, inFlightPerEntry), time.Now())
	}
	return s
}

// inFlightPerEntry is how many engines an entry of these experiments has work
// on.
const inFlightPerEntry = 30

func measureStatusIn(n int) (float64, error) {
	d := instanceFleet(n)
	s := statusesOf(d, 1)
	st := entryStatus(d.Instances[0], 1, inFlightPerEntry)
	now := time.Now()
	return cpuOf(func() {
		st.Seq++
		s.Take(st, now)
	}), nil
}

// measureDrained looks at all statuses, as each step of a drain does.
func measureDrained(n int) (float64, error) {
	d := instanceFleet(n)
	s := statusesOf(d, 1)
	listed := make([]string, len(d.Instances))
	for i, in := range d.Instances {
		listed[i] = in.Name
	}
	now := time.Now()
	return cpuOf(func() { s.Drained("another", journal.Position{Offset: 1}, listed, now, time.Hour, time.Hour) }), nil
}

// picture is the state on which a leader of the first data centre decides: the
// fleet's engines and so many rows of demand, which the engines can meet.
func picture(engines, rows int, now time.Time) rolepolicy.State {
	d := engineFleet(engines)
	s := rolepolicy.State{DataCentre: d.DataCentres[0].Name}
	for i, u := range d.Upstreams {
		s.Engines = append(s.Engines, rolepolicy.Engine{
			Name: u.Name, DataCentre: u.DataCentre, Role: upstream.Role(u.Role), Models: u.Models, InService: true,
			ReportAge: 500 * time.Millisecond, Reported: rolepolicy.Rates{Prefill: 5000, Decode: 640},
			Running: 8 + i%17, MaxBatch: 32,
		})
	}
	share := float64(engines) / float64(max(1, rows))
	for i := range rows {
		s.Demand = append(s.Demand, rolepolicy.Demand{
			Entry: d.Instances[i/targetSize.Models].Name, Model: model(i % targetSize.Models), At: now,
			PromptPerSec: 1500 * share, OutputPerSec: 200 * share, RequestsPerSec: share,
		})
	}
	return s
}

func measureDecide(engines, rows int) (float64, error) {
	p := rolepolicy.NewGain(rolepolicy.Config{
		ChangeWeight: 1, Dwell: 20 * time.Second, Change: 4 * time.Second, MaxAtOnce: 1, MaxPictureAge: 10 * time.Second,
	})
	now := time.Now()
	s := picture(engines, rows, now)
	return cpuOf(func() {
		now = now.Add(time.Second)
		for i := range s.Demand {
			s.Demand[i].At = now
		}
		p.Decide(s, now)
	}), nil
}
