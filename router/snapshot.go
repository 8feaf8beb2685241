package router

import (
	"slices"
	"time"

	"tamarackchute/upstream"
)

// groupKey identifies the upstreams that can run the same requests.
type groupKey struct{ pool, model string }

// group is the upstreams of a pool that serve a model.
type group struct {
	nodes []*node
	// byDC holds the members of each data centre, by its index.
	byDC [][]*node
	// prefill holds the members whose role was prefill when the snapshot was
	// made. A role change makes a new snapshot.
	prefill []*node
}

// Snapshot is one process's view of the fleet, indexed by pool and model. Its
// membership never changes; Tracker replaces it when the fleet's does. The state
// of each upstream in it is read live.
type Snapshot struct {
	cfg        Config
	scheduler  *Scheduler
	cache      *PrefixIndex
	kvTransfer *kvTransferFactors
	nodes      []*node
	byName     map[string]*node
	pools      map[string]int
	groups     map[groupKey]*group
	dcs        map[string]int32
	dcNames    []string
	latency    [][]time.Duration
}

// NewSnapshot returns a snapshot of upstreams whose state doesn't change. The
// prefix index may be nil. It serves tests and embedders without a Tracker.
func NewSnapshot(cfg Config, ups []Upstream, cache *PrefixIndex) *Snapshot {
	nodes := make([]*node, len(ups))
	s := newSnapshot(cfg, cache, newKVTransferFactors())
	for i, u := range ups {
		nodes[i] = newNode(int32(i), s.dataCentre(u.DataCentre), u)
	}
	s.index(nodes)
	return s
}

func newSnapshot(cfg Config, cache *PrefixIndex, f *kvTransferFactors) *Snapshot {
	s := &Snapshot{
		cfg:        cfg,
		scheduler:  cfg.pipeline(),
		cache:      cache,
		kvTransfer: f,
		byName:     map[string]*node{},
		pools:      map[string]int{},
		groups:     map[groupKey]*group{},
		dcs:        map[string]int32{},
	}
	s.dataCentre(cfg.DataCentre)
	for _, l := range cfg.Links {
		s.dataCentre(l.From)
		s.dataCentre(l.To)
	}
	return s
}

// dataCentre returns the index of a data centre, and adds it if it is new.
func (s *Snapshot) dataCentre(name string) int32 {
	if i, ok := s.dcs[name]; ok {
		return i
	}
	i := int32(len(s.dcNames))
	s.dcs[name] = i
	s.dcNames = append(s.dcNames, name)
	return i
}

// index builds the lookup tables from the nodes.
func (s *Snapshot) index(nodes []*node) {
	s.nodes = nodes
	s.latency = latencies(s.cfg.Links, s.dcs)
	for _, n := range nodes {
		u := n.state.Load()
		s.byName[u.Name] = n
		s.pools[u.Pool]++
		if len(u.Models) == 0 {
			s.addTo(groupKey{pool: u.Pool}, n, u)
		}
		for _, m := range u.Models {
			s.addTo(groupKey{u.Pool, m}, n, u)
		}
	}
}

func (s *Snapshot) addTo(k groupKey, n *node, u *Upstream) {
	g := s.groups[k]
	if g == nil {
		g = &group{byDC: make([][]*node, len(s.dcNames))}
		s.groups[k] = g
	}
	g.nodes = append(g.nodes, n)
	g.byDC[n.dc] = append(g.byDC[n.dc], n)
	if u.Role == upstream.RolePrefill {
		g.prefill = append(g.prefill, n)
	}
}

// latencies builds the table of one-way latencies. Pairs without a configured link
// get the slowest link's, so that they don't count as free.
func latencies(links []Link, dcs map[string]int32) [][]time.Duration {
	var slowest time.Duration
	for _, l := range links {
		slowest = max(slowest, l.OneWay)
	}
	table := make([][]time.Duration, len(dcs))
	for i := range table {
		table[i] = slices.Repeat([]time.Duration{slowest}, len(dcs))
		table[i][i] = 0
	}
	for _, l := range links {
		a, b := dcs[l.From], dcs[l.To]
		table[a][b] = l.OneWay
		table[b][a] = l.OneWay
	}
	return table
}

// Len returns the number of upstreams.
func (s *Snapshot) Len() int { return len(s.nodes) }

// Upstreams returns the current state of all upstreams.
func (s *Snapshot) Upstreams(now time.Time) []Upstream {
	out := make([]Upstream, len(s.nodes))
	for i, n := range s.nodes {
		out[i] = n.view(now)
	}
	return out
}

// Upstream returns the current state of one upstream.
func (s *Snapshot) Upstream(name string, now time.Time) (Upstream, bool) {
	n, ok := s.byName[name]
	if !ok {
		return Upstream{}, false
	}
	return n.view(now), true
}
