package fleet

import (
	"slices"
	"strings"
)

// byPool groups upstreams by pool, each group ordered by ID so that all daemons
// have the same order.
func byPool(list map[string]*Upstream) map[string][]*Upstream {
	pools := make(map[string][]*Upstream)
	for _, u := range list {
		pools[u.Pool] = append(pools[u.Pool], u)
	}
	for _, members := range pools {
		slices.SortFunc(members, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return pools
}
