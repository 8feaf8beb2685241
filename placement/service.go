package placement

import "math"

// PickService returns the plain upstream with the lowest cost, mainly its load relative to
// its slots. full is set if its slots and queue are taken.
func PickService(upstreams []Engine, r Request) (id string, full, ok bool) {
	best := math.Inf(1)
	for i := range upstreams {
		u := &upstreams[i]
		if excluded(u, r) {
			continue
		}
		cost := serviceCost(u, r)
		if cost < best {
			best, id, full = cost, u.ID, u.Running-maxQueuedCalls >= u.Slots
		}
	}
	return id, full, id != ""
}

const (
	// maxQueuedCalls is the number of calls that may queue at an upstream beyond its slots,
	// so that the next call is there when one ends.
	maxQueuedCalls = 1
	// queuePenalty makes any free slot cheaper than queueing.
	queuePenalty = 1.0
	// remotePenalty is the cost of a call to another data centre, as a share of the
	// upstream's slots.
	remotePenalty = 0.3
)

func serviceCost(u *Engine, r Request) float64 {
	cost := float64(u.Running)/max(1, float64(u.Slots)) + u.LatencyMillis/1000
	if u.Running >= u.Slots {
		cost += queuePenalty
	}
	if u.DataCentre != r.DataCentre {
		cost += remotePenalty
	}
	return cost
}
