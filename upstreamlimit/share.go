package upstreamlimit

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// minPerSecond is the least rate at which an upstream gets requests, whatever limit it names: only a
// response can say that the limit is over. At this rate it is named again within staleAfter.
const minPerSecond = 0.4

// share is the part of an upstream's limit that one process may use.
type share struct {
	// perSecond is 0 for a process that isn't a holder.
	perSecond float64
	// burst is how many requests may follow each other at once.
	burst float64
}

// shareOf divides a limit among the processes of a site. The holders are as many as the limit
// allows requests a second, so that what they send at once is within it; each has the same share.
// Processes that know the same members agree.
func shareOf(perSecond float64, u Upstream, self string, members []string) share {
	rate := max(perSecond, minPerSecond)
	holders := int(min(max(1, rate), float64(len(members))))
	if !isAmongFirst(u, self, members, holders) {
		return share{}
	}
	each := rate / float64(holders)
	return share{perSecond: each, burst: max(1, burstSeconds*each)}
}

// burstSeconds is the time whose requests a holder may send at once.
const burstSeconds = 0.5

// isAmongFirst reports whether a process is among the n first ones in the order of their hashes with
// an upstream.
func isAmongFirst(u Upstream, self string, members []string, n int) bool {
	if n >= len(members) {
		return slices.Contains(members, self)
	}
	own := weightOf(u, self)
	before, known := 0, false
	for _, m := range members {
		if m == self {
			known = true
			continue
		}
		if w := weightOf(u, m); cmp.Compare(w, own) > 0 {
			before++
		}
	}
	return known && before < n
}

func weightOf(u Upstream, member string) uint64 {
	return xxhash.Sum64String(u.ID + "\x00" + strconv.FormatInt(u.Started, 10) + "\x00" + member)
}

func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }
