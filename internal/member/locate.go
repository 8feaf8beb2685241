package member

import (
	"time"

	"tamarackchute/internal/wire"
)

// minLocalDaemons is the number of daemons from which the callers of a data centre get only
// those addresses. With one, its failure would leave them without any.
const minLocalDaemons = 2

// candidate is a daemon that callers may be sent to.
type candidate struct {
	wire.MemberAddress
	summary Summary
}

// fitness ranks a daemon by what it can do for callers now. A daemon without a path to upstreams, or with
// an overdue configuration, forwards its requests; one that can't use its API keys refuses them.
func (c candidate) fitness() int {
	switch {
	case c.summary.KeysStale:
		return 0
	case c.summary.PathLost || c.summary.Overdue:
		return 1
	default:
		return 2
	}
}

// fittest returns the daemons that can do most for callers.
func fittest(all []candidate) []candidate {
	best := 0
	for _, c := range all {
		best = max(best, c.fitness())
	}
	var chosen []candidate
	for _, c := range all {
		if c.fitness() == best {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

// candidates returns the daemons that serve callers, as recently reported.
func (p *Peers) candidates() []candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var serving []candidate
	for _, other := range p.peers {
		if other.up && other.summary.Serving {
			serving = append(serving, candidate{other.MemberAddress, other.summary})
		}
	}
	return serving
}

// Locate returns the addresses that callers of a data centre may connect to: the daemons there if
// there are at least two, since traffic between data centres adds latency and cost, and all
// daemons otherwise. Only the fittest count.
func (m *Member) Locate(dataCentre string) ([]string, time.Duration) {
	serving := m.peers.candidates()
	if m.Ready() {
		serving = append(serving, candidate{m.self, m.summary()})
	}
	var local, all []string
	for _, c := range fittest(serving) {
		all = append(all, c.Callers)
		if c.DataCentre == dataCentre {
			local = append(local, c.Callers)
		}
	}
	ttl := directoryTTL
	if limit := m.settings.Load().DirectoryTTL; limit > 0 {
		ttl = min(ttl, limit)
	}
	if len(local) >= minLocalDaemons {
		return local, ttl
	}
	return all, ttl
}
