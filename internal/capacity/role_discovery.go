package capacity

import (
	"encoding/json"

	"tamarackchute/internal/entry/discovery"
	"tamarackchute/internal/settings"
	"tamarackchute/membership"
)

// discoveryExperiments measure the answers to where to connect.
func discoveryExperiments() []Experiment {
	return []Experiment{
		{
			ID: "discovery.state", Unit: Bytes, Per: "instance", Method: MethodHeap, Sizes: instanceSizes,
			Measure: func(n int) (float64, error) {
				d := instanceFleet(n)
				return heapOf(func() any { return directoryOf(d) }), nil
			},
		},
		{
			ID: "discovery.answer", Unit: Bytes, Per: "instance", Method: MethodEncoded, Sizes: instanceSizes,
			Measure: func(n int) (float64, error) {
				body, err := json.Marshal(directoryOf(instanceFleet(n)).Where(""))
				return float64(len(body)), err
			},
		},
		{
			ID: "discovery.answer", Unit: Nanos, Per: "instance", Method: MethodCPU, Sizes: instanceSizes,
			Measure: func(n int) (float64, error) {
				dir := directoryOf(instanceFleet(n))
				var err error
				ns := cpuOf(func() { _, err = json.Marshal(dir.Where("")) })
				return ns, err
			},
		},
	}
}

func instanceFleet(n int) *settings.Deployment {
	size := targetSize
	size.Instances, size.Engines = n, 1
	return Fleet(size)
}

// allLive takes every instance for live, by a look into a table as the real
// view does.
type allLive map[string]membership.State

func (m allLive) State(name string) membership.State { return m[name] }

func directoryOf(d *settings.Deployment) *discovery.Directory {
	live := allLive{}
	for _, in := range d.Instances {
		live[in.Name] = membership.Live
	}
	return discovery.New(d, d.Instances[0], live)
}
