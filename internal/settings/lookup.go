package settings

import (
	"sort"
	"time"
)

// Instance returns the instance of a name, and whether there is one.
func (d *Deployment) Instance(name string) (Instance, bool) {
	for _, in := range d.Instances {
		if in.Name == name {
			return in, true
		}
	}
	return Instance{}, false
}

// Upstream returns the upstream of a name, and whether there is one.
func (d *Deployment) Upstream(name string) (Upstream, bool) {
	for _, u := range d.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}

// OneWayLatency returns the one-way latency between two data centres: 0 within one,
// and 0 for a pair without a link, which Load refuses.
func (d *Deployment) OneWayLatency(a, b string) time.Duration {
	for _, l := range d.Links {
		if (l.From == a && l.To == b) || (l.From == b && l.To == a) {
			return time.Duration(l.OneWayMillis * float64(time.Millisecond))
		}
	}
	return 0
}

// Nearest returns the names of all data centres, the nearest to from first;
// those equally near are in order of name.
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
