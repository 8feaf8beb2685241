package rolepolicy

import (
	"fmt"
	"math"
	"time"

	"tamarackchute/upstream"
)

// BalancerConfig sets a Balance. All figures are for one pool of engines that
// either only read prompts or generate, and read at a lower rate beside that.
type BalancerConfig struct {
	// Dwell is the least time between two decisions.
	Dwell time.Duration
	// MinLossShare is the share of a change's cost, the engine's time that it takes,
	// that must have been lost for the want of it: a shortage that lasts for less
	// isn't worth an engine's leaving.
	MinLossShare float64
	// MaxChangingShare bounds the share of the engines that change at a time.
	MaxChangingShare float64
	// MinGain is the least that a change must add to what is read well, as a share
	// of what the engine could read: one that would read for less stays. It is no
	// share of the pool's reading, of which one engine of many is next to nothing.
	MinGain float64
	// PrefillShare is the share of an engine's time that reading may take where it
	// generates when it has to, as reading holds streams back.
	PrefillShare float64
	// HighWatermark is the share of the engines that generate at which the load lacks
	// room, LowWatermark that which must not be exceeded by giving an engine away.
	HighWatermark, LowWatermark float64
	// MinDecodeShare is the share of the engines that go on generating whatever the
	// demand: what they have to do now is no measure of the next minute.
	MinDecodeShare float64
}

// DefaultBalancerConfig returns the settings used where nothing else is said.
func DefaultBalancerConfig() BalancerConfig {
	return BalancerConfig{
		Dwell: 300 * time.Millisecond, MinLossShare: 0.5, MaxChangingShare: 0.26,
		MinGain: 0.25, PrefillShare: 0.15, HighWatermark: 0.92, LowWatermark: 0.6, MinDecodeShare: 0.2,
	}
}

// Pool is what a Balance looks at. An engine that changes counts in the role that
// it changes to.
type Pool struct {
	Prefill, Decode, Changing int
	// ConcurrentPrefillRate is how fast an engine that generates reads, as a share of one that only
	// reads.
	ConcurrentPrefillRate float64
	// PrefillDemand is the reading that callers ask for, that of refused requests
	// included, in engines that only read. DecodeLoad is the load of generating, in
	// engines.
	PrefillDemand, DecodeLoad float64
	// SwitchTime is how long an engine is out of service when its role changes.
	SwitchTime time.Duration
}

// Balancer keeps as many engines reading as the prompts need and the streams
// allow: a stream whose engine reads prompts all the time gets its tokens at
// half the pace, and one without a place isn't served at all.
type Balancer struct {
	cfg BalancerConfig
	// want is the role that engines should change to, engines how many at least since
	// it is wanted, lost what the want of each has cost so far, in an engine's time.
	want    upstream.Role
	engines int
	lost    time.Duration
	seen    time.Time
	last    time.Time
}

// NewBalancer returns a policy.
func NewBalancer(cfg BalancerConfig) *Balancer { return &Balancer{cfg: cfg} }

// Change is a decision: more engines in a role.
type Change struct {
	To upstream.Role
	// Engines is how many should change now.
	Engines int
	// Gain is what they add to what is served, in engines.
	Gain   float64
	Reason string
}

// Decide returns the change that pays now, if any. It is called every second or
// so.
func (b *Balancer) Decide(p Pool, now time.Time) (Change, bool) {
	c, ok := b.wanted(p)
	passed := now.Sub(b.seen)
	b.seen = now
	if !ok || c.To != b.want {
		b.want, b.engines, b.lost = c.To, c.Engines, 0
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
	b.want, b.last = "", now
	return c, true
}

// wanted returns the change that would pay if its reason lasted.
func (b *Balancer) wanted(p Pool) (Change, bool) {
	engines := p.Prefill + p.Decode
	most := int(math.Max(1, b.cfg.MaxChangingShare*float64(engines))) - p.Changing
	if engines < 2 || most < 1 {
		return Change{}, false
	}
	if lacking := b.lacking(p); p.Prefill > 1 && lacking > 0 {
		n := min(int(math.Ceil(lacking)), most, p.Prefill-1)
		return Change{
			To:      upstream.RoleDecode,
			Engines: n,
			Gain:    math.Min(lacking, float64(n)),
			Reason:  fmt.Sprintf("a load of %.1f engines on %d of %d", p.DecodeLoad, p.Decode, engines),
		}, true
	}
	n := b.readersMore(p, most)
	if n == 0 {
		return Change{}, false
	}
	gain := b.readWell(p, p.Prefill+n) - b.readWell(p, p.Prefill)
	return Change{
		To:      upstream.RolePrefill,
		Engines: n,
		Gain:    gain,
		Reason:  fmt.Sprintf("%.1f more engines' reading of %.1f asked for", gain, p.PrefillDemand),
	}, true
}

// readersMore is how many engines more should read, most at most: as long as each
// one's reading is worth it and the streams keep their room.
func (b *Balancer) readersMore(p Pool, most int) int {
	least := b.leastDecode(p.Prefill + p.Decode)
	for n := range most {
		left := float64(p.Decode - n - 1)
		if left < least || p.DecodeLoad > b.cfg.LowWatermark*left {
			return n
		}
		gain := b.readWell(p, p.Prefill+n+1) - b.readWell(p, p.Prefill+n)
		if gain < b.cfg.MinGain {
			return n
		}
	}
	return most
}

// leastGenerators is how many engines generate at least where there are enough: with
// the loss of the only one all streams would be lost, and none could go on.
const leastGenerators = 2

// leastDecode is the number of engines that generate whatever the demand.
func (b *Balancer) leastDecode(engines int) float64 {
	return math.Max(math.Min(leastGenerators, float64(engines)/2), b.cfg.MinDecodeShare*float64(engines)-0.5)
}

// lacking is how many engines more should generate: engines that did may have been
// taken away since the others changed.
func (b *Balancer) lacking(p Pool) float64 {
	few := b.leastDecode(p.Prefill+p.Decode) - float64(p.Decode)
	full := p.DecodeLoad - b.cfg.HighWatermark*float64(p.Decode)
	if full > 0 {
		full = math.Max(full, 1)
	}
	return math.Max(few, full)
}

// readWell returns the reading that so many prefill engines, and the others beside
// their streams, can do, in engines.
func (b *Balancer) readWell(p Pool, prefill int) float64 {
	decode := float64(p.Prefill + p.Decode - prefill)
	idle := math.Max(0, decode-p.DecodeLoad)
	return math.Min(p.PrefillDemand, float64(prefill)+b.cfg.PrefillShare*idle*p.ConcurrentPrefillRate)
}
