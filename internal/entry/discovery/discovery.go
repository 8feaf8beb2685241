// Package discovery lists the addresses that callers may connect to, nearest first.
package discovery

import (
	"sync/atomic"

	"tamarackchute/internal/settings"
	"tamarackchute/membership"
)

// Members returns the assumed state of an instance, which is only a hint. If it is
// wrong, a caller can't reach the instance and uses the next address of the response.
type Members interface {
	State(instance string) membership.State
}

// Response lists the addresses to connect to.
type Response struct {
	Addresses []Address `json:"addresses"`
	// MaxAgeSeconds is how long the response may be cached. An instance that shuts down
	// continues to serve for at least that long.
	MaxAgeSeconds float64 `json:"keep_s"`
}

// Address is the address of one instance.
type Address struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Instance   string `json:"instance"`
}

// Directory is the discovery service of one instance. It is safe for concurrent use.
type Directory struct {
	// HasPath reports whether this instance reaches any upstream; nil means that it does.
	HasPath func() bool

	self    settings.Instance
	maxAge  float64
	members Members
	// byDistance holds, for each data centre, all instances, nearest first.
	byDistance   map[string][]settings.Instance
	shuttingDown atomic.Bool
	// rotation counts responses; each starts with the next instance of a data centre.
	rotation atomic.Uint64
}

// New returns the directory of an instance.
func New(d *settings.Deployment, self settings.Instance, m Members) *Directory {
	dir := &Directory{
		self:       self,
		maxAge:     d.Discovery.TTLSeconds,
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

// BeginShutdown removes this instance from all further responses.
func (d *Directory) BeginShutdown() { d.shuttingDown.Store(true) }

// Locate returns the addresses for a caller in a data centre; an unknown one counts as
// this instance's own. Suspected instances come last, as they may still be up; those
// that are shutting down or gone are omitted. The instances of a data centre are
// rotated, as callers connect to the first address.
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
	if d.HasPath != nil && !d.HasPath() {
		return membership.Suspected // others serve callers sooner
	}
	return membership.Live
}
