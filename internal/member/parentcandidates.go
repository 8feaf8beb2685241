package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/internal/wire"
)

// In a large site loads are aggregated in a tree instead of a full mesh. The daemons of a data
// centre report to one of them, which reports to the root of the site; each answers with the
// totals of all others. If an aggregator falls silent, the next in rank takes over, at the loss
// of the latest updates only. A single one would draw most reports across data centres.

// rankAggregators returns the daemons in order of preference as aggregators: highest capacity
// first, then by the hash of the address.
func rankAggregators(all []wire.MemberAddress) []wire.MemberAddress {
	ranking := slices.Clone(all)
	slices.SortFunc(ranking, func(a, b wire.MemberAddress) int {
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.Peers), xxhash.Sum64String(b.Peers)),
		)
	})
	return ranking
}

// parentCandidates returns the daemons that self may report to; the first that answers is used.
// They are those ranked before it, its own data centre's first. As each reports to one ranked
// before it, there are no cycles. The first in rank, the root, has none.
func parentCandidates(self wire.MemberAddress, others []wire.MemberAddress) []wire.MemberAddress {
	all := rankAggregators(append(slices.Clone(others), self))
	before := all[:slices.IndexFunc(all, func(a wire.MemberAddress) bool { return a.Peers == self.Peers })]
	var local, remote []wire.MemberAddress
	for _, a := range before {
		if a.DataCentre == self.DataCentre {
			local = append(local, a)
		} else {
			remote = append(remote, a)
		}
	}
	return append(local, remote...)
}

// queryIntervalFor returns the interval of queries while totals are needed. The few daemons that
// report to another data centre query as often as daemons of a small site update each other.
func queryIntervalFor(self, to wire.MemberAddress, others []wire.MemberAddress) time.Duration {
	if to.DataCentre != self.DataCentre {
		return loadInterval
	}
	interval := queryInterval
	for _, a := range others {
		if a.DataCentre == self.DataCentre {
			interval += queryIntervalPerDaemon
		}
	}
	return interval
}

// parentState describes the daemon that this one reports to, its parent.
type parentState struct {
	candidates []wire.MemberAddress
	// current is the index of the parent in candidates; their number if there is none.
	current int
	outgoingLink
	// interval is the minimum time between two reports.
	interval time.Duration
	// lastAnswer is when the last answer came, or the parent was chosen; failedOver is when the
	// first candidate was given up.
	lastAnswer, failedOver time.Time
	// lastQuery is when the last report that asks for an answer was sent, lastFull the last full
	// one.
	lastQuery, lastFull time.Time
	// answeredBy is the address of the parent that answered last; noParent means that no
	// candidate answers.
	answeredBy string
	noParent   bool
	// pendingAnswer is closed when the totals arrive that a decision waits for; nil if none
	// does.
	pendingAnswer chan struct{}
	// loggedSenders is the number of daemons in the totals that were last logged.
	loggedSenders int
	loggedAt      time.Time
}

// candidate returns the candidate that is the parent now, and false if none is left.
func (s *parentState) candidate() (wire.MemberAddress, bool) {
	if s.current >= len(s.candidates) {
		return wire.MemberAddress{}, false
	}
	return s.candidates[s.current], true
}

// rank returns the number of daemons ranked before this one, not counting silent ones ranked
// before the parent that answers. Once all agree, it is 0 for one daemon of a large site.
func (s *parentState) rank() int {
	if s.noParent {
		return 0
	}
	at := slices.IndexFunc(s.candidates, func(a wire.MemberAddress) bool { return a.Peers == s.answeredBy })
	return len(s.candidates) - max(0, at)
}
