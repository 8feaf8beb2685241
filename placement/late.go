package placement

import (
	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// Late requests are those whose prefill exceeds the objective on every engine, and those
// that found no capacity in time. A late response still has some value, but occupies an
// engine for long, so only a share of the engines prefills late requests, one each at a
// time.
const (
	// lateEngineShare is the share of the engines that may prefill for late requests.
	lateEngineShare = 0.17
	// lateQueueShare is the longest queue before a late prefill, as a share of the
	// objective. Where more work is queued, other requests can still meet their objective.
	lateQueueShare = 0.1
)

// hasLateCapacity reports whether one more engine may prefill for a late request.
func hasLateCapacity(engines []Engine) bool {
	busy := 0
	for i := range engines {
		if engines[i].LatePrefills > 0 {
			busy++
		}
	}
	return float64(busy) < max(1, lateEngineShare*float64(len(engines)))
}

// delaysOthers reports whether a late prefill would make other requests on the engine miss
// their objectives, or delay another late prefill.
func delaysOthers(e *Engine, p Plan, r Request) bool {
	if e.LatePrefills > 0 || enginemodel.Millis(p.QueueTime) > lateQueueShare*enginemodel.Millis(r.Objective) {
		return true
	}
	hasStreams := e.Role == upstream.RoleDecode && e.Running > 0
	return hasStreams && r.GapObjective > 0 && p.MaxGap > r.GapObjective
}
