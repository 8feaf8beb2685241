package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/internal/wire"
)

// In a large site not every daemon can tell every other what it has in flight. Those
// of a data centre tell one of them, which adds up and tells each what the others
// have; and the ones that collect in a data centre tell one of the site, which does
// the same for them. Any daemon can: who does follows from the addresses that all
// know, and if it falls silent the next one in line does. Nothing is lost with it but
// a moment's knowledge. With one for all, of every report and answer of other data
// centres all but a few bytes would cross between them.

// ranked returns the daemons in the order in which they are to collect: those with
// the most capacity first.
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

// reportLine returns the daemons that one reports to, the first that answers alone:
// those before it in rank, its own data centre's first. As each reports to one before
// it, none reports in a circle. The first of all has nobody to report to.
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

// reportEvery is the time between two questions for the totals while they are needed. The
// few daemons that tell them on ask as often as a small site's daemons tell each other.
func queryIntervalFor(self, to wire.MemberAddress, others []wire.MemberAddress) time.Duration {
	if to.DataCentre != self.DataCentre {
		return loadInterval
	}
	every := queryInterval
	for _, a := range others {
		if a.DataCentre == self.DataCentre {
			every += queryIntervalPerDaemon
		}
	}
	return every
}

// collection is whom a daemon reports to.
type parentState struct {
	candidates []wire.MemberAddress
	// current is the place in line of the one that is reported to; the line's length
	// if nobody is.
	current int
	outgoingLink
	// interval is the least time between two reports.
	interval time.Duration
	// heard is when the last answer came, or the one above was chosen; left when the
	// first in line was given up.
	lastAnswer, failedOver time.Time
	// asked is when the last report went out that wants an answer, full the last full one.
	lastQuery, lastFull time.Time
	// answering is the address of the daemon above that answered last, alone says that
	// none does.
	answeredBy string
	noParent   bool
	// answered is closed when the totals come that a decision waits for; nil if none does.
	pendingAnswer chan struct{}
	// senders is the number of daemons in the totals as logged last.
	loggedSenders int
	loggedAt      time.Time
}

// to returns the daemon that is reported to.
func (c *parentState) candidate() (wire.MemberAddress, bool) {
	if c.current >= len(c.candidates) {
		return wire.MemberAddress{}, false
	}
	return c.candidates[c.current], true
}

// rank returns how many daemons stand before this one in line, the silent ones before the
// one that answers left out. It is 0 for one daemon of a large site.
func (c *parentState) rank() int {
	if c.noParent {
		return 0
	}
	at := slices.IndexFunc(c.candidates, func(a wire.MemberAddress) bool { return a.Peers == c.answeredBy })
	return len(c.candidates) - max(0, at)
}
