package rolepolicy

import (
	"fmt"
	"math"
	"time"

	"tamarackchute/upstream"
)

// BalanceConfig sets a Balance. All figures are for one pool of engines that
// either only read prompts or generate, and read at a lower rate beside that.
type BalanceConfig struct {
	// Dwell is the least time between two decisions.
	Dwell time.Duration
	// Sustain is how long a shortage must last before an engine changes, if that
	// doubled what is served; a smaller gain must last longer in proportion.
	Sustain time.Duration
	// MaxChanging bounds the share of the engines that change at a time.
	MaxChanging float64
	// LeastGain is the least share by which a change must add to what is read
	// well.
	LeastGain float64
	// ReadShare is the share of an engine's time that reading may take beside no
	// long stream; what streams it has takes from that in proportion, as reading
	// holds them back.
	ReadShare float64
	// FullShare is the share of the slots left to long streams at which they lack
	// room, RoomShare that which must not be exceeded by giving an engine away.
	FullShare, RoomShare float64
	// LeastDecode is the share of the engines that go on generating whatever the
	// demand: what they have to do now is no measure of the next minute.
	LeastDecode float64
	// FullGain is the gain that room for long streams counts as.
	FullGain float64
}

// DefaultBalanceConfig returns the settings used where nothing else is said.
func DefaultBalanceConfig() BalanceConfig {
	return BalanceConfig{
		Dwell: 1500 * time.Millisecond, Sustain: 900 * time.Millisecond, MaxChanging: 0.26,
		LeastGain: 0.1, ReadShare: 0.15, FullShare: 0.92, RoomShare: 0.6, FullGain: 0.5, LeastDecode: 0.45,
	}
}

// Pool is what a Balance looks at. An engine that changes counts in the role that
// it changes to.
type Pool struct {
	Prefill, Decode, Changing int
	// PrefillRate and DecodeRate are the rates at which one of each reads
	// prompts, in tokens a second.
	PrefillRate, DecodeRate float64
	// LongSlots is the number of long streams that one engine takes.
	LongSlots int
	// ReadDemand is the prompt tokens a second that callers ask to be read,
	// those of refused requests included. LongStreams are the streams under way
	// that last for seconds.
	ReadDemand, LongStreams float64
}

// Balance keeps as many engines reading as the prompts need and the streams
// allow: a long stream whose engine reads prompts all the time gets its tokens at
// half the pace, and one without a slot isn't served at all.
type Balance struct {
	cfg BalanceConfig
	// want is the change that would pay, pressing how long it has, weighted by
	// its gain.
	want     upstream.Role
	pressing time.Duration
	seen     time.Time
	last     time.Time
}

// NewBalance returns a policy.
func NewBalance(cfg BalanceConfig) *Balance { return &Balance{cfg: cfg} }

// Change is a decision: one engine more in a role.
type Change struct {
	To upstream.Role
	// Gain is what it adds to what is served, as a share of that.
	Gain   float64
	Reason string
}

// Decide returns the change that pays now, if any. It is called every second or
// so.
func (b *Balance) Decide(p Pool, now time.Time) (Change, bool) {
	c, ok := b.wanted(p)
	passed := now.Sub(b.seen)
	b.seen = now
	if !ok || c.To != b.want {
		b.want, b.pressing = c.To, 0
		return Change{}, false
	}
	b.pressing += time.Duration(c.Gain * float64(passed))
	if b.pressing < b.cfg.Sustain || now.Sub(b.last) < b.cfg.Dwell {
		return Change{}, false
	}
	b.last, b.pressing = now, 0
	return c, true
}

func (b *Balance) wanted(p Pool) (Change, bool) {
	engines := p.Prefill + p.Decode
	if engines < 2 || float64(p.Changing+1) > math.Max(1, b.cfg.MaxChanging*float64(engines)) {
		return Change{}, false
	}
	// Engines that generate may have been taken away since the others changed.
	few := float64(p.Decode)+0.5 < b.cfg.LeastDecode*float64(engines)
	if p.Prefill > 1 && (few || p.LongStreams > b.cfg.FullShare*b.slots(p, p.Decode)) {
		return Change{
			To:     upstream.RoleDecode,
			Gain:   b.cfg.FullGain,
			Reason: fmt.Sprintf("%.0f long streams on %d engines of %d", p.LongStreams, p.Decode, engines),
		}, true
	}
	if float64(p.Decode-1) < b.cfg.LeastDecode*float64(engines) || p.LongStreams > b.cfg.RoomShare*b.slots(p, p.Decode-1) {
		return Change{}, false
	}
	now := b.readWell(p, p.Prefill)
	gain := b.readWell(p, p.Prefill+1) - now
	if now == 0 || gain < b.cfg.LeastGain*now {
		return Change{}, false
	}
	return Change{
		To:     upstream.RolePrefill,
		Gain:   gain / now,
		Reason: fmt.Sprintf("%.0f more tokens a second of %.0f asked for", gain, p.ReadDemand),
	}, true
}

// readWell returns the prompt tokens a second that so many prefill engines, and
// the others beside their streams, can read.
func (b *Balance) readWell(p Pool, prefill int) float64 {
	decode := p.Prefill + p.Decode - prefill
	idle := max(0, 1-p.LongStreams/max(1, b.slots(p, decode)))
	capacity := float64(prefill)*p.PrefillRate + b.cfg.ReadShare*idle*float64(decode)*p.DecodeRate
	return math.Min(p.ReadDemand, capacity)
}

func (b *Balance) slots(p Pool, decode int) float64 {
	return float64(decode * p.LongSlots)
}
