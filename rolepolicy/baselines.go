package rolepolicy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tamarackchute/upstream"
)

// Fixed is a policy without changes: the engines keep the roles of the settings.
type Fixed struct{}

// Decide returns no decision.
func (Fixed) Decide(State, time.Time) []Decision { return nil }

// Split is the number of engines of the fleet in each role.
type Split struct {
	Prefill int `json:"prefill"`
	Decode  int `json:"decode"`
	Mixed   int `json:"mixed"`
}

// Total returns the number of engines in the split.
func (s Split) Total() int { return s.Prefill + s.Decode + s.Mixed }

// Step is a split that applies from a time on.
type Step struct {
	At    time.Time
	Split Split
}

// Plan is a list of steps.
type Plan []Step

// Schedule follows a plan made with the mix known in advance. It is the upper
// bound in experiments and suits deployments with the same load every day.
type Schedule struct {
	plan Plan
}

// NewSchedule returns a policy that follows the plan.
func NewSchedule(p Plan) *Schedule {
	sorted := slices.Clone(p)
	slices.SortStableFunc(sorted, func(a, b Step) int { return a.At.Compare(b.At) })
	return &Schedule{plan: sorted}
}

// Decide changes each engine of the data centre whose role differs from the plan.
func (p *Schedule) Decide(s State, now time.Time) []Decision {
	step, ok := p.current(now)
	if !ok {
		return nil
	}
	roles := step.Split.Assign(s.Engines)
	var out []Decision
	for i, e := range s.Engines {
		if e.DataCentre != s.DataCentre || e.Changing || !e.InService || e.Role == roles[i] {
			continue
		}
		reason := fmt.Sprintf("schedule: split %d prefill, %d decode, %d mixed from %s",
			step.Split.Prefill, step.Split.Decode, step.Split.Mixed, step.At.Format(time.RFC3339))
		out = append(out, Decision{Engine: e.Name, From: e.Role, To: roles[i], Reason: reason})
	}
	return out
}

func (p *Schedule) current(now time.Time) (Step, bool) {
	for i := len(p.plan) - 1; i >= 0; i-- {
		if !p.plan[i].At.After(now) {
			return p.plan[i], true
		}
	}
	return Step{}, false
}

// Assign returns the role of each engine, in the order of the argument. Leaders
// that know the same engines get the same result, and two splits differ in as few
// engines as their counts allow. Each role is spread over the data centres, so that
// none of them is left with one role alone.
func (s Split) Assign(engines []Engine) []upstream.Role {
	order := interleaved(engines)
	roles := make([]upstream.Role, len(engines))
	for place, i := range order {
		switch {
		case place < s.Prefill:
			roles[i] = upstream.RolePrefill
		case place >= len(engines)-s.Decode:
			roles[i] = upstream.RoleDecode
		default:
			roles[i] = upstream.RoleMixed
		}
	}
	return roles
}

// interleaved returns the indexes of the engines, ordered by their rank within the
// data centre, then by data centre.
func interleaved(engines []Engine) []int {
	byName := make([]int, len(engines))
	for i := range byName {
		byName[i] = i
	}
	slices.SortFunc(byName, func(a, b int) int { return cmp.Compare(engines[a].Name, engines[b].Name) })
	rank := make([]int, len(engines))
	seen := map[string]int{}
	for _, i := range byName {
		rank[i] = seen[engines[i].DataCentre]
		seen[engines[i].DataCentre]++
	}
	slices.SortStableFunc(byName, func(a, b int) int {
		return cmp.Or(cmp.Compare(rank[a], rank[b]),
			cmp.Compare(engines[a].DataCentre, engines[b].DataCentre))
	})
	return byName
}

// Threshold is the common heuristic: if the engines report a high load of one kind
// of work and not of the other, it changes one engine. It uses only the reported
// load, without forecast, cost or dwell time.
type Threshold struct {
	maxAtOnce int
	maxAge    time.Duration
}

// thresholdLoad is the load, as a share of capacity, above which a kind of work
// needs more engines, and below which it can release one.
const thresholdLoad = 0.8

// NewThreshold returns the policy. Of c it uses only MaxAtOnce and MaxReportAge.
func NewThreshold(c Config) *Threshold {
	return &Threshold{maxAtOnce: max(1, c.MaxAtOnce), maxAge: c.MaxReportAge}
}

// Decide changes one engine of the data centre if the reports call for it.
func (p *Threshold) Decide(s State, _ time.Time) []Decision {
	var prefill, decode, changing float64
	var count float64
	for _, e := range s.Engines {
		if e.DataCentre != s.DataCentre {
			continue
		}
		if e.Changing {
			changing++
		}
		if !e.InService || e.Changing || (p.maxAge > 0 && e.ReportAge > p.maxAge) {
			continue
		}
		prefill += prefillLoad(e)
		decode += decodeLoad(e)
		count++
	}
	if count == 0 || int(changing) >= p.maxAtOnce {
		return nil
	}
	prefill /= count
	decode /= count
	switch {
	case prefill > thresholdLoad && decode < thresholdLoad:
		return p.move(s, upstream.RolePrefill, prefill, decode)
	case decode > thresholdLoad && prefill < thresholdLoad:
		return p.move(s, upstream.RoleDecode, prefill, decode)
	}
	return nil
}

// move changes the first engine in service that doesn't have the role yet.
func (p *Threshold) move(s State, to upstream.Role, prefill, decode float64) []Decision {
	for _, e := range s.Engines {
		if e.DataCentre != s.DataCentre || e.Changing || !e.InService || e.Role == to {
			continue
		}
		reason := fmt.Sprintf("threshold: reported prefill load %.2f, decode load %.2f", prefill, decode)
		return []Decision{{Engine: e.Name, From: e.Role, To: to, Reason: reason}}
	}
	return nil
}

// prefillLoad is the engine's queued prefill in seconds, at most 1.
func prefillLoad(e Engine) float64 {
	if e.Reported.Prefill <= 0 {
		return 0
	}
	return min(1, float64(e.QueuedPrompt)/e.Reported.Prefill)
}

// decodeLoad is the share of the batch in use, at most 1.
func decodeLoad(e Engine) float64 {
	if e.MaxBatch <= 0 {
		return 0
	}
	return min(1, float64(e.Running)/float64(e.MaxBatch))
}
