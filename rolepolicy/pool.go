package rolepolicy

import (
	"slices"
	"strings"
)

// pool is a group of engines connected by common models, directly or through other
// engines. Engines serve only requests for models of their pool. It is the Gain
// policy's unit of planning; a Balancer's input is a Pool.
type pool struct {
	models  []string
	engines []Engine
}

// key identifies the pool; it changes only if the set of models changes.
func (p pool) key() string { return strings.Join(p.models, ",") }

// pools returns the pools of the engines in a deterministic order.
func pools(engines []Engine) []pool {
	byList := map[string]*pool{}
	for _, e := range engines {
		models := slices.Clone(e.Models)
		slices.Sort(models)
		key := strings.Join(models, ",")
		if byList[key] == nil {
			byList[key] = &pool{models: models}
		}
		byList[key].engines = append(byList[key].engines, e)
	}
	groups := make([]pool, 0, len(byList))
	for _, p := range byList {
		groups = append(groups, *p)
	}
	slices.SortFunc(groups, func(a, b pool) int { return strings.Compare(a.key(), b.key()) })
	return merged(groups)
}

// merged merges groups that have a model in common.
func merged(groups []pool) []pool {
	var out []pool
	for _, g := range groups {
		rest := out[:0:0]
		for _, p := range out {
			if shares(p.models, g.models) {
				g.models = union(g.models, p.models)
				g.engines = append(g.engines, p.engines...)
			} else {
				rest = append(rest, p)
			}
		}
		out = append(rest, g)
	}
	for _, p := range out {
		slices.SortFunc(p.engines, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	}
	return out
}

func shares(a, b []string) bool {
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
