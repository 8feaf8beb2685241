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
	keep    float64
	members Members
	// near holds, for each data centre, all instances, the nearest first.
	near    map[string][]settings.Instance
	leaving atomic.Bool
	// turn counts answers; each begins with another instance of a data centre.
	turn atomic.Uint64
}

// New returns the directory of the instance self.
func New(d *settings.Deployment, self settings.Instance, m Members) *Directory {
	dir := &Directory{
		self:    self,
		keep:    d.Discovery.KeepSeconds,
		members: m,
		near:    map[string][]settings.Instance{},
	}
	for _, dc := range d.DataCentres {
		for _, name := range d.Nearest(dc.Name) {
			for _, in := range d.Instances {
				if in.DataCentre == name {
					dir.near[dc.Name] = append(dir.near[dc.Name], in)
				}
			}
		}
	}
	return dir
}

// Leave takes the own instance out of all further answers.
func (d *Directory) BeginShutdown() { d.leaving.Store(true) }

// Where answers for a caller in a data centre; one that is not known counts as
// the instance's own. Instances that are only suspected come after all others,
// since they may well be up; those that leave or have gone don't come at all.
//
// Callers connect to the first address. So that they don't all go to the same
// instance, those of one data centre take turns in being named first.
func (d *Directory) Locate(dataCentre string) Response {
	order, known := d.near[dataCentre]
	if !known {
		order = d.near[d.self.DataCentre]
	}
	turn := d.turn.Add(1) - 1
	answer := Response{Addresses: make([]Address, 0, len(order)), MaxAgeSeconds: d.keep}
	answer.add(d, order, membership.Live, turn)
	answer.add(d, order, membership.Suspected, turn)
	return answer
}

func (a *Response) add(d *Directory, order []settings.Instance, state membership.State, turn uint64) {
	var group []Address
	for i, in := range order {
		if d.state(in) == state {
			group = append(group, Address{Address: in.Callers, DataCentre: in.DataCentre, Instance: in.Name})
		}
		if last := i+1 == len(order) || order[i+1].DataCentre != in.DataCentre; last && len(group) > 0 {
			first := turn % uint64(len(group))
			a.Addresses = append(append(a.Addresses, group[first:]...), group[:first]...)
			group = group[:0]
		}
	}
}

func (d *Directory) state(in settings.Instance) membership.State {
	if in.Name != d.self.Name {
		return d.members.State(in.Name)
	}
	if d.leaving.Load() {
		return membership.Leaving
	}
	return membership.Live
}
