package rolepolicy

import (
	"fmt"
	"math"
	"time"

	"tamarackchute/upstream"
)

// BalancerConfig configures a Balancer. All values are for one pool, whose engines
// either only prefill, or decode and prefill concurrently at a lower rate.
type BalancerConfig struct {
	// Dwell is the minimum time between two decisions.
	Dwell time.Duration
	// MinLossShare is the loss that a shortage must have caused before a change is
	// made, as a share of the change's cost, which is the time that the engine is out
	// of service. A shorter shortage isn't worth that cost.
	MinLossShare float64
	// MaxChangingShare bounds the share of the engines that change concurrently.
	MaxChangingShare float64
	// MinGain is the minimum that a change must add to the prefill served, as a share of
	// the capacity of one engine. It isn't relative to the pool: in a large pool one
	// engine is a negligible share.
	MinGain float64
	// PrefillShare is the share of a decode engine's idle time that counts as prefill
	// capacity, as prefill delays the engine's streams.
	PrefillShare float64
	// HighWatermark is the decode load, as a share of the decode engines, above which
	// engines are added. LowWatermark is the load that must not be exceeded after an
	// engine is taken away.
	HighWatermark, LowWatermark float64
	// MinDecodeShare is the share of the engines that stay decode engines whatever the
	// demand: their present load doesn't predict the next minute.
	MinDecodeShare float64
}

// DefaultBalancerConfig returns the default settings.
func DefaultBalancerConfig() BalancerConfig {
	return BalancerConfig{
		Dwell: 300 * time.Millisecond, MinLossShare: 0.5, MaxChangingShare: 0.26,
		MinGain: 0.25, PrefillShare: 0.15, HighWatermark: 0.92, LowWatermark: 0.6, MinDecodeShare: 0.2,
	}
}

// Pool is the input of a Balancer. An engine that is changing counts in the role
// that it changes to.
type Pool struct {
	Prefill, Decode, Changing int
	// ConcurrentPrefillRate is the prefill rate of a decode engine, as a share of that
	// of a prefill engine.
	ConcurrentPrefillRate float64
	// PrefillDemand is the prefill that callers ask for, refused requests included,
	// in prefill engines. DecodeLoad is the decode work, in decode engines.
	PrefillDemand, DecodeLoad float64
	// SwitchTime is how long an engine is out of service during a role change.
	SwitchTime time.Duration
}

// Balancer keeps as many prefill engines as the prompts need and the streams
// allow: a stream on an engine that prefills all the time gets its tokens at half
// the rate, and one for which no engine has room isn't served at all.
type Balancer struct {
	cfg BalancerConfig
	// role is the role that engines should change to, engines the smallest number
	// proposed since then, lost the gain per engine that was missed so far, in
	// engine time.
	role    upstream.Role
	engines int
	lost    time.Duration
	seen    time.Time
	last    time.Time
}

// NewBalancer returns a balancer.
func NewBalancer(cfg BalancerConfig) *Balancer { return &Balancer{cfg: cfg} }

// Change is a decision to move engines to a role.
type Change struct {
	To upstream.Role
	// Engines is how many should change now.
	Engines int
	// Gain is the additional work served, in engines.
	Gain   float64
	Reason string
}

// Decide returns the change that is worth its cost now, if any. It is meant to be
// called about once a second.
func (b *Balancer) Decide(p Pool, now time.Time) (Change, bool) {
	c, ok := b.propose(p)
	passed := now.Sub(b.seen)
	b.seen = now
	if !ok || c.To != b.role {
		b.role, b.engines, b.lost = c.To, c.Engines, 0
		return Change{}, false
	}
	b.engines = min(b.engines, c.Engines)
	b.lost += time.Duration(c.Gain / float64(c.Engines) * float64(passed))
	enough := time.Duration(b.cfg.MinLossShare * float64(p.SwitchTime))
	if b.lost < enough || now.Sub(b.last) < b.cfg.Dwell {
		return Change{}, false
	}
	c.Gain *= float64(b.engines) / float64(c.Engines)
	c.Engines = b.engines
	b.role, b.last = "", now
	return c, true
}

// propose returns the change that would be worth its cost if the shortage lasted.
func (b *Balancer) propose(p Pool) (Change, bool) {
	engines := p.Prefill + p.Decode
	maxChanges := int(math.Max(1, b.cfg.MaxChangingShare*float64(engines))) - p.Changing
	if engines < 1 || maxChanges < 1 {
		return Change{}, false
	}
	spare := p.Prefill - 1
	if p.Decode == 0 {
		spare = p.Prefill // without one that decodes, nothing is served
	}
	if shortage := b.decodeShortage(p); spare > 0 && shortage > 0 {
		n := min(int(math.Ceil(shortage)), maxChanges, spare)
		return Change{
			To:      upstream.RoleDecode,
			Engines: n,
			Gain:    math.Min(shortage, float64(n)),
			Reason:  fmt.Sprintf("a load of %.1f engines on %d of %d", p.DecodeLoad, p.Decode, engines),
		}, true
	}
	n := b.additionalPrefill(p, maxChanges)
	if n == 0 {
		return Change{}, false
	}
	gain := b.servedPrefill(p, p.Prefill+n) - b.servedPrefill(p, p.Prefill)
	return Change{
		To:      upstream.RolePrefill,
		Engines: n,
		Gain:    gain,
		Reason:  fmt.Sprintf("%.1f more engines' reading of %.1f asked for", gain, p.PrefillDemand),
	}, true
}

// additionalPrefill is how many more engines should prefill, at most maxChanges: as
// long as each adds at least MinGain and the remaining decode engines suffice by
// minDecode and LowWatermark.
func (b *Balancer) additionalPrefill(p Pool, maxChanges int) int {
	minLeft := b.minDecode(p.Prefill + p.Decode)
	for n := range maxChanges {
		left := float64(p.Decode - n - 1)
		if left < minLeft || p.DecodeLoad > b.cfg.LowWatermark*left {
			return n
		}
		gain := b.servedPrefill(p, p.Prefill+n+1) - b.servedPrefill(p, p.Prefill+n)
		if gain < b.cfg.MinGain {
			return n
		}
	}
	return maxChanges
}

// minDecodeEngines is the minimum number of decode engines in pools of at least
// twice as many: if the only one failed, all streams would be lost and none could
// continue.
const minDecodeEngines = 2

// minDecode is the minimum number of decode engines whatever the demand.
func (b *Balancer) minDecode(engines int) float64 {
	return math.Max(math.Min(minDecodeEngines, float64(engines)/2), b.cfg.MinDecodeShare*float64(engines)-0.5)
}

// decodeShortage is how many more engines should decode. Decode engines may have been
// removed from the pool since others changed to prefill.
func (b *Balancer) decodeShortage(p Pool) float64 {
	missing := b.minDecode(p.Prefill+p.Decode) - float64(p.Decode)
	excess := p.DecodeLoad - b.cfg.HighWatermark*float64(p.Decode)
	if excess > 0 {
		excess = math.Max(excess, 1)
	}
	return math.Max(missing, excess)
}

// servedPrefill returns the demanded prefill that so many prefill engines can serve,
// together with the decode engines in their idle time, in engines.
func (b *Balancer) servedPrefill(p Pool, prefill int) float64 {
	decode := float64(p.Prefill + p.Decode - prefill)
	idle := math.Max(0, decode-p.DecodeLoad)
	return math.Min(p.PrefillDemand, float64(prefill)+b.cfg.PrefillShare*idle*p.ConcurrentPrefillRate)
}
