package settings

import (
	"sort"
	"time"
)

// Instance returns the instance with the given name, and whether it exists.
func (d *Deployment) Instance(name string) (Instance, bool) {
	for _, in := range d.Instances {
		if in.Name == name {
			return in, true
		}
	}
	return Instance{}, false
}

// Upstream returns the upstream with the given name, and whether it exists.
func (d *Deployment) Upstream(name string) (Upstream, bool) {
	for _, u := range d.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}

// OneWayLatency returns the one-way latency between two data centres. It is 0
// within one data centre, and for a pair without a link, which Load rejects.
func (d *Deployment) OneWayLatency(a, b string) time.Duration {
	for _, l := range d.Links {
		if (l.From == a && l.To == b) || (l.From == b && l.To == a) {
			return time.Duration(l.OneWayMillis * float64(time.Millisecond))
		}
	}
	return 0
}

// Nearest returns the names of all data centres, ordered by latency from the
// given one, then by name.
func (d *Deployment) Nearest(from string) []string {
	names := make([]string, len(d.DataCentres))
	for i, dc := range d.DataCentres {
		names[i] = dc.Name
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if (a == from) != (b == from) {
			return a == from
		}
		la, lb := d.OneWayLatency(from, a), d.OneWayLatency(from, b)
		if la != lb {
			return la < lb
		}
		return a < b
	})
	return names
}
