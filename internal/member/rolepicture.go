package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/rolepolicy"
	"tamarackchute/upstream"
)

// picture gathers what the policy looks at.
func (d *director) picture(s *fleet.Snapshot, name string, pool *fleet.Pool) (rolepolicy.Pool, []placement.Engine) {
	books := d.member.books
	demand := d.member.peers.Demand(name)
	p := rolepolicy.Pool{PrefillDemand: demand.PrefillEngines, SwitchTime: pool.Engine.RoleSwitchTime}
	var ids []string
	for _, u := range s.Pools[name] {
		switch {
		case u.Draining:
		case books.Unavailable(u.ID):
			// It is on its way to the role that it hasn't.
			p.Changing++
			if u.Role == upstream.RolePrefill {
				p.Decode++
			} else {
				p.Prefill++
			}
		case u.Role == upstream.RolePrefill:
			p.Prefill++
			ids = append(ids, u.ID)
		default:
			p.Decode++
			ids = append(ids, u.ID)
		}
	}
	engines := books.Engines(ids)
	p.DecodeLoad = placement.DecodeDemand(engines)
	p.ConcurrentPrefillRate = beside(engines)
	return p, engines
}

// beside is how fast engines that generate read, as a share of those that only read:
// of a typical prompt.
func beside(engines []placement.Engine) float64 {
	for _, e := range engines {
		if e.Model == nil {
			continue
		}
		prompt := enginemodel.Prompt{Tokens: typicalPrompt}
		return e.Model.PrefillMillis(upstream.RolePrefill, prompt) / e.Model.PrefillMillis(upstream.RoleDecode, prompt)
	}
	return 1
}

// typicalPrompt is the length of the prompt by which roles are compared, in tokens.
// What a token takes hardly depends on it.
const typicalPrompt = 1000

// chooseEngines returns the engines whose change disturbs least: those with the
// fewest long streams, which they would have to end first, and the fewest requests.
func chooseEngines(s *fleet.Snapshot, engines []placement.Engine, c rolepolicy.Change) []*fleet.Upstream {
	from := upstream.RoleDecode
	if c.To == upstream.RoleDecode {
		from = upstream.RolePrefill
	}
	engines = slices.DeleteFunc(engines, func(e placement.Engine) bool { return e.Role != from || e.Probing })
	slices.SortFunc(engines, func(a, b placement.Engine) int {
		return cmp.Or(cmp.Compare(a.LongStreams, b.LongStreams), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	var chosen []*fleet.Upstream
	for _, e := range engines[:min(c.Engines, len(engines))] {
		if u := s.Upstreams[e.ID]; u != nil {
			chosen = append(chosen, u)
		}
	}
	return chosen
}

// pictureEvery is how often the leader logs what it looks at.
const pictureEvery = 2 * time.Second

func (d *director) logPicture(pool string, p rolepolicy.Pool) {
	if now := time.Now(); now.Sub(d.logged[pool]) >= pictureEvery {
		d.logged[pool] = now
		d.logger.Info("roles looked at", "pool", pool, "prefill", p.Prefill, "decode", p.Decode, "changing", p.Changing,
			"read_demand", round(p.PrefillDemand), "generating", round(p.DecodeLoad), "beside", round(p.ConcurrentPrefillRate))
	}
}

// round keeps two digits behind the point.
func round(x float64) float64 { return math.Round(x*100) / 100 }
