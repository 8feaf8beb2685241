package router

import (
	"math/rand/v2"
	"time"
)

// Picker chooses among scored candidates.
type Picker interface {
	// Pick returns the index of the chosen candidate and the reason. There is at
	// least one candidate.
	Pick(cands []Candidate, r *Request, rnd *rand.Rand) (int, PlanReason)
}

// spreadPicker draws among the candidates with a cost close to the lowest, cheaper
// ones more often. Otherwise all processes with the same delayed reports would
// send to one engine until the next report. The band widens with the age of the
// reports, since an older difference between two engines means less.
type spreadPicker struct {
	// minWidth is the band's least width, costShare its width relative to the
	// lowest cost, ageShare its width relative to the age of the reports.
	minWidth  time.Duration
	costShare float64
	ageShare  float64
}

// defaultMinWidth is the minWidth of the default pipeline.
const defaultMinWidth = 5 * time.Millisecond

func (p spreadPicker) Pick(cands []Candidate, _ *Request, rnd *rand.Rand) (int, PlanReason) {
	best := lowestCost(cands)
	if len(cands) == 1 {
		return 0, ReasonOnlyUpstream
	}
	width := p.width(&cands[best])
	limit := cands[best].Cost + width
	var total float64
	near := 0
	for i := range cands {
		if w := weight(&cands[i], limit, width); w > 0 {
			total += w
			near++
		}
	}
	if near == 1 {
		return best, reasonFor(&cands[best], ReasonLeastCost)
	}
	return p.draw(cands, limit, width, rnd.Float64()*total, best)
}

func (p spreadPicker) draw(cands []Candidate, limit, width time.Duration, at float64, best int) (int, PlanReason) {
	for i := range cands {
		w := weight(&cands[i], limit, width)
		if w <= 0 {
			continue
		}
		if at -= w; at <= 0 {
			return i, reasonFor(&cands[i], ReasonSpread)
		}
	}
	return best, reasonFor(&cands[best], ReasonSpread)
}

func (p spreadPicker) width(best *Candidate) time.Duration {
	byCost := time.Duration(p.costShare * float64(best.Cost))
	byAge := time.Duration(p.ageShare * float64(best.ReportAge))
	return max(p.minWidth, byCost, byAge)
}

// weight falls from 1 at limit-width to 0 at limit.
func weight(c *Candidate, limit, width time.Duration) float64 {
	if c.Cost >= limit {
		return 0
	}
	return min(1, float64(limit-c.Cost)/float64(width))
}

func reasonFor(c *Candidate, otherwise PlanReason) PlanReason {
	if c.Probing {
		return ReasonProbe
	}
	if c.CachedTokens > 0 {
		return ReasonCachedPrefix
	}
	return otherwise
}

func lowestCost(cands []Candidate) int {
	best := 0
	for i := range cands {
		if cands[i].Cost < cands[best].Cost {
			best = i
		}
	}
	return best
}
