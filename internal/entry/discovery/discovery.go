// Package discovery names the addresses that callers may use, nearest first.
package discovery

import (
	"sync/atomic"

	"tamarackchute/internal/settings"
	"tamarackchute/membership"
)

// Members says what is believed about an instance; a hint only. What follows
// from a wrong one is a caller sent to an instance that it can't reach, who
// then takes the next of the answer's addresses.
type Members interface {
	State(instance string) membership.State
}

// Answer says where to connect.
type Response struct {
	Addresses []Address `json:"addresses"`
	// KeepSeconds is how long the answer may be kept. An instance that stops
	// serves on for at least that long.
	MaxAgeSeconds float64 `json:"keep_s"`
}

// Address is one instance to connect to.
type Address struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Instance   string `json:"instance"`
}

// Directory answers for one instance. It is safe for use by many goroutines.
type Directory struct {
	self    settings.Instance
	maxAge  float64
	members Members
	// near holds, for each data centre, all instances, the nearest first.
	byDistance   map[string][]settings.Instance
	shuttingDown atomic.Bool
	// turn counts answers; each begins with another instance of a data centre.
	rotation atomic.Uint64
}

// New returns the directory of the instance self.
func New(d *settings.Deployment, self settings.Instance, m Members) *Directory {
	dir := &Directory{
		self:       self,
		maxAge:     d.Discovery.KeepSeconds,
		members:    m,
		byDistance: map[string][]settings.Instance{},
	}
	for _, dc := range d.DataCentres {
		for _, name := range d.Nearest(dc.Name) {
			for _, in := range d.Instances {
				if in.DataCentre == name {
					dir.byDistance[dc.Name] = append(dir.byDistance[dc.Name], in)
				}
			}
		}
	}
	return dir
}

// Leave takes the own instance out of all further answers.
func (d *Directory) BeginShutdown() { d.shuttingDown.Store(true) }

// Where answers for a caller in a data centre; one that is not known counts as
// the instance's own. Instances that are only suspected come after all others,
// since they may well be up; those that leave or have gone don't come at all.
//
// Callers connect to the first address. So that they don't all go to the same
// instance, those of one data centre take turns in being named first.
func (d *Directory) Locate(dataCentre string) Response {
	instances, known := d.byDistance[dataCentre]
	if !known {
		instances = d.byDistance[d.self.DataCentre]
	}
	rotation := d.rotation.Add(1) - 1
	response := Response{Addresses: make([]Address, 0, len(instances)), MaxAgeSeconds: d.maxAge}
	response.appendInState(d, instances, membership.Live, rotation)
	response.appendInState(d, instances, membership.Suspected, rotation)
	return response
}

func (r *Response) appendInState(d *Directory, instances []settings.Instance, state membership.State, rotation uint64) {
	var group []Address
	for i, in := range instances {
		if d.state(in) == state {
			group = append(group, Address{Address: in.Callers, DataCentre: in.DataCentre, Instance: in.Name})
		}
		if last := i+1 == len(instances) || instances[i+1].DataCentre != in.DataCentre; last && len(group) > 0 {
			first := rotation % uint64(len(group))
			r.Addresses = append(append(r.Addresses, group[first:]...), group[:first]...)
			group = group[:0]
		}
	}
}

func (d *Directory) state(in settings.Instance) membership.State {
	if in.Name != d.self.Name {
		return d.members.State(in.Name)
	}
	if d.shuttingDown.Load() {
		return membership.Leaving
	}
	return membership.Live
}
