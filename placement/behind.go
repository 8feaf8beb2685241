package placement

import (
	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// Answers that will be late are worth giving where room is left over: those whose
// prompts take longer than the objective allows on any engine, and those that found no
// place in time. They take an engine for long, so only a part of the engines reads for
// them at a time, each one prompt.
const (
	// behindShare is the share of the engines that may read for late answers.
	behindShare = 0.17
	// behindQueue is the share of the objective that the queue before a late answer's
	// prompt may take: where more waits, others can still be in time.
	behindQueue = 0.1
)

// roomBehind reports whether one more engine may read for late answers.
func roomBehind(engines []Engine) bool {
	busy := 0
	for i := range engines {
		if engines[i].LatePrefills > 0 {
			busy++
		}
	}
	return float64(busy) < max(1, behindShare*float64(len(engines)))
}

// disturbs reports whether a late answer's prompt would keep others from being in time
// at the engine that reads it.
func disturbs(e *Engine, p Plan, r Request) bool {
	if e.LatePrefills > 0 || enginemodel.Millis(p.QueueTime) > behindQueue*enginemodel.Millis(r.Objective) {
		return true
	}
	streams := e.Role == upstream.RoleDecode && e.Running > 0
	return streams && r.GapObjective > 0 && p.MaxGap > r.GapObjective
}
