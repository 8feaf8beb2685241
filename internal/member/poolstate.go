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

// poolState returns the state of a pool on which the policy decides.
func poolState(m *Member, s *fleet.Snapshot, name string, pool *fleet.Pool) (rolepolicy.Pool, []placement.Engine) {
	tracker := m.tracker
	demand := m.peers.Demand(name)
	p := rolepolicy.Pool{PrefillDemand: demand.PrefillEngines, SwitchTime: pool.Engine.RoleSwitchTime}
	var ids []string
	for _, u := range s.Pools[name] {
		switch {
		case u.Draining:
		case tracker.Unavailable(u.ID):
			// It is changing to the other role.
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
	engines := tracker.Engines(ids)
	p.DecodeLoad = placement.DecodeDemand(engines)
	p.ConcurrentPrefillRate = concurrentPrefillRate(engines)
	return p, engines
}

// concurrentPrefillRate returns the prefill rate of decode engines, which prefill concurrently
// with decoding, as a share of the rate of prefill engines, for a typical prompt.
func concurrentPrefillRate(engines []placement.Engine) float64 {
	for _, e := range engines {
		if e.Model == nil {
			continue
		}
		prompt := enginemodel.Prompt{Tokens: typicalPromptTokens}
		return e.Model.PrefillMillis(upstream.RolePrefill, prompt) / e.Model.PrefillMillis(upstream.RoleDecode, prompt)
	}
	return 1
}

// typicalPromptTokens is the prompt length used to compare the roles. The time per token hardly
// depends on it.
const typicalPromptTokens = 1000

// chooseEngines returns the engines whose change is least disruptive: those with the fewest long
// streams, which they must finish first, and the fewest requests.
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

// poolLogInterval is how often the lease holder logs the state of a pool.
const poolLogInterval = 2 * time.Second

func (d *director) logPool(pool string, p rolepolicy.Pool) {
	if now := time.Now(); now.Sub(d.lastLogged[pool]) >= poolLogInterval {
		d.lastLogged[pool] = now
		d.logger.Info("roles checked", "pool", pool, "prefill", p.Prefill, "decode", p.Decode, "changing", p.Changing,
			"read_demand", round(p.PrefillDemand), "generating", round(p.DecodeLoad), "beside", round(p.ConcurrentPrefillRate))
	}
}

// round rounds to two decimal places.
func round(x float64) float64 { return math.Round(x*100) / 100 }
