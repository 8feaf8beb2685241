package capacity

import (
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
	"tamarackchute/membership"
)

// membershipExperiments measure the membership's machine. Sizes of a "peer" or
// "member" count the instances of one data centre of ten.
func membershipExperiments() []Experiment {
	sizes := []int{1, 2, 20, 60, 170}
	return []Experiment{
		{
			ID: "membership.state", Unit: Bytes, Per: "instance", Method: MethodHeap, Sizes: instanceSizes,
			Measure: func(n int) (float64, error) {
				d := instanceFleet(n)
				return heapOf(func() any { return newMembers(d) }), nil
			},
		},
		{
			ID: "membership.beat", Unit: Nanos, Per: "peer", Method: MethodCPU, Sizes: sizes,
			Measure: measureBeat,
		},
		{
			ID: "membership.summary", Unit: Nanos, Per: "member", Method: MethodCPU, Sizes: sizes,
			Measure: measureSummary,
		},
		{
			ID: "membership.list", Unit: Nanos, Per: "row", Method: MethodCPU, Sizes: instanceSizes,
			Measure: func(n int) (float64, error) {
				d := instanceFleet(n)
				m := newMembers(d)
				rows := listRows(d)
				now := time.Now()
				return cpuOf(func() { m.ReadList(rows, now) }), nil
			},
		},
	}
}

// newMembers is the membership of the first instance, which has read the list.
func newMembers(d *settings.Deployment) *membership.Machine {
	cfg := membership.Config{Incarnation: 1, Nearest: d.Nearest}
	for _, in := range d.Instances {
		cfg.Peers = append(cfg.Peers, membership.Peer{Name: in.Name, DataCentre: in.DataCentre})
	}
	cfg.Self = cfg.Peers[0]
	now := time.Now()
	m := membership.New(cfg, now)
	m.ReadList(listRows(d), now)
	return m
}

// beats is a heartbeat of each other instance of the first one's data centre.
func beats(d *settings.Deployment, seq uint64) []membership.Heartbeat {
	var all []membership.Heartbeat
	for _, in := range d.Instances[1:] {
		if in.DataCentre == d.Instances[0].DataCentre {
			all = append(all, membership.Heartbeat{From: in.Name, Incarnation: 1, Seq: seq})
		}
	}
	return all
}

// tenthFleet has so many instances in each of ten data centres.
func tenthFleet(perDataCentre int) *settings.Deployment {
	return instanceFleet(perDataCentre * targetSize.DataCentres)
}

// ticksPerBeat is how often a beat the membership's runner lets time pass.
const ticksPerBeat = 5

// measureBeat lets a whole beat pass in a data centre of n: a heartbeat of each
// other instance comes in, and the own ones go out.
func measureBeat(n int) (float64, error) {
	d := tenthFleet(n)
	m := newMembers(d)
	now := time.Now()
	all := beats(d, 0)
	return cpuOf(func() {
		for i := range all {
			all[i].Seq++
			m.ReceiveHeartbeat(all[i], now)
		}
		for range ticksPerBeat {
			now = now.Add(membership.DefaultBeat / ticksPerBeat)
			m.Tick(now)
		}
	}), nil
}

// summaryOf returns the summary that the second data centre sends.
func summaryOf(d *settings.Deployment) membership.Summary {
	s := membership.Summary{DataCentre: d.Instances[1].DataCentre, From: d.Instances[1].Name, Incarnation: 1}
	for _, in := range d.Instances {
		if in.DataCentre == s.DataCentre {
			s.Members = append(s.Members, membership.Member{Name: in.Name, Incarnation: 1_790_000_000_000, State: membership.Live})
		}
	}
	for _, dc := range d.DataCentres {
		if dc.Name != s.DataCentre {
			s.Hears = append(s.Hears, dc.Name)
		}
	}
	return s
}

// measureSummary takes a summary of n members in and hands it on.
func measureSummary(n int) (float64, error) {
	d := tenthFleet(n)
	m := newMembers(d)
	s := summaryOf(d)
	if len(s.Members) != n {
		return 0, eris.Errorf("summary has %d members", len(s.Members))
	}
	now := time.Now()
	relayed := 0
	ns := cpuOf(func() {
		s.Seq++
		// So little that the silence of the others doesn't count.
		now = now.Add(time.Microsecond)
		relayed = len(m.ReceiveSummary(s, now))
	})
	if relayed != n-1 {
		return 0, eris.Errorf("summary was handed on to %d instances", relayed)
	}
	return ns, nil
}
