package rolepolicy

import (
	"cmp"
	"slices"
	"time"

	"tamarackchute/upstream"
)

// maxOverdueChanges is how many mean change durations a leader waits for another
// data centre's leader to make the change that is its turn.
const maxOverdueChanges = 3

// choose selects engines for the first steps of the plan and returns the decisions
// for those of this data centre.
func (g *Gain) choose(problem poolProblem, found plan, engines []Engine, centre string, now time.Time, room int) []Decision {
	var out []Decision
	taken := map[string]bool{}
	perCentre := busyPerCentre(engines)
	counts := problem.now
	for len(out) < room {
		give, take, ok := problem.step(counts, found.target)
		if !ok {
			break
		}
		e, ok := g.candidate(engines, roleNames[give], centre, taken, perCentre, now)
		if !ok {
			break
		}
		taken[e.Name] = true
		perCentre[e.DataCentre]++
		counts[give]--
		counts[take]++
		if e.DataCentre != centre {
			continue
		}
		out = append(out, Decision{
			Engine: e.Name, From: e.Role, To: roleNames[take],
			Reason: g.reason(problem, found),
			Gain:   found.gain / float64(found.moves),
			Cost:   found.cost / float64(found.moves),
		})
	}
	g.forgetChosen(taken)
	return out
}

func busyPerCentre(engines []Engine) map[string]int {
	busy := map[string]int{}
	for _, e := range engines {
		if e.Changing {
			busy[e.DataCentre]++
		}
	}
	return busy
}

// candidate returns the engine whose turn it is: from the data centre with the
// fewest ongoing changes, then the one that changed longest ago, then by name. It
// skips engines whose leader has missed its turn.
func (g *Gain) candidate(engines []Engine, role upstream.Role, centre string,
	taken map[string]bool, busy map[string]int, now time.Time) (Engine, bool) {
	var free []Engine
	for _, e := range engines {
		if e.Role == role && !taken[e.Name] && g.free(e, now) && busy[e.DataCentre] < g.c.MaxAtOnce {
			free = append(free, e)
		}
	}
	slices.SortStableFunc(free, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(busy[a.DataCentre], busy[b.DataCentre]),
			a.LastChange.Compare(b.LastChange), cmp.Compare(a.Name, b.Name))
	})
	for _, e := range free {
		if e.DataCentre == centre || !g.overdue(e.Name, now) {
			return e, true
		}
	}
	return Engine{}, false
}

// free reports whether the engine may change now.
func (g *Gain) free(e Engine, now time.Time) bool {
	return !e.Changing && e.InService &&
		(e.LastChange.IsZero() || now.Sub(e.LastChange) >= g.c.Dwell)
}

// overdue reports whether another data centre's engine has been the candidate for
// so long that its leader evidently won't change it: that leader is partitioned or
// has a different view.
func (g *Gain) overdue(name string, now time.Time) bool {
	since, ok := g.chosen[name]
	if !ok {
		g.chosen[name] = now
		return false
	}
	return now.Sub(since) > maxOverdueChanges*g.changes.mean
}

// forgetChosen drops the engines that are no longer candidates. One that was
// skipped as overdue gets its turn again at the next decision.
func (g *Gain) forgetChosen(taken map[string]bool) {
	for name := range g.chosen {
		if !taken[name] {
			delete(g.chosen, name)
		}
	}
}
