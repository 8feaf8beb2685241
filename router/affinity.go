package router

// BlockTokens is the length of a prefix block in tokens.
const BlockTokens = 16

// lookupCache queries the prefix index once for the decision.
func (d *decision) lookupCache() {
	d.sc.matches = d.sc.matches[:0]
	if d.s.cache == nil || len(d.r.PrefixBlocks) == 0 {
		return
	}
	d.sc.matches = d.s.cache.lookup(d.sc.matches, d.r.PrefixBlocks, d.now)
}

// expectedCachedTokens returns the prompt tokens that a node's prefix cache is
// expected to save: the matched tokens times the confidence of the match.
func (d *decision) expectedCachedTokens(n *node) int {
	for _, m := range d.sc.matches {
		if m.Engine == n.id {
			held := min(m.Blocks*BlockTokens, d.r.PromptTokens)
			return int(float64(held) * m.Confidence)
		}
	}
	return 0
}

// nodeByID returns the node with an index number, or nil if there is none.
func (s *Snapshot) nodeByID(id int32) *node {
	if id < 0 || int(id) >= len(s.nodes) {
		return nil
	}
	return s.nodes[id]
}
