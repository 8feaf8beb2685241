// Package fleetsize decides how many upstreams of a pool each data centre should have, and of
// which kind, where the platform bills them by the second. Spot upstreams are cheap, but a data
// centre's may be reclaimed all at once: a composition is judged by what is left then.
package fleetsize

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Config configures a Sizer. Zero values select the defaults.
type Config struct {
	// SpotUtilisation is the share of the upstreams' time that the peak demand may take after the
	// loss of a data centre's spot upstreams. It is low, since they cost little.
	SpotUtilisation float64
	// WorkUtilisation is the same without such a loss, and for regular upstreams.
	WorkUtilisation float64
	// PeakMemory is how long a peak of the demand is remembered.
	PeakMemory time.Duration
	// ObservationTime is how long demand must have been seen before the number is reduced.
	ObservationTime time.Duration
	// RefusalBackoff is the first pause after spot upstreams weren't to be had, MaxBackoff the
	// longest.
	RefusalBackoff, MaxBackoff time.Duration
}

// Defaults of Config.
const (
	defaultSpotUtilisation = 0.4
	defaultWorkUtilisation = 0.75
	defaultPeakMemory      = time.Minute
	defaultObservationTime = 20 * time.Second
	defaultRefusalBackoff  = time.Second
	defaultMaxBackoff      = 3 * time.Second
)

func (c Config) withDefaults() Config {
	c.SpotUtilisation = cmp.Or(c.SpotUtilisation, defaultSpotUtilisation)
	c.WorkUtilisation = cmp.Or(c.WorkUtilisation, defaultWorkUtilisation)
	c.PeakMemory = cmp.Or(c.PeakMemory, defaultPeakMemory)
	c.ObservationTime = cmp.Or(c.ObservationTime, defaultObservationTime)
	c.RefusalBackoff = cmp.Or(c.RefusalBackoff, defaultRefusalBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, defaultMaxBackoff)
	return c
}

// Centre is a data centre's part of a pool.
type Centre struct {
	Name string
	// Regular and Spot are the numbers of upstreams that serve and aren't draining.
	Regular, Spot int
	// Price is that of a regular upstream.
	Price float64
}

// Pool is the input of a decision.
type Pool struct {
	// Centres are ordered by name.
	Centres []Centre
	// Min and Max limit the number in each data centre, both kinds together.
	Min, Max int
	// SpotRatio is the price of a spot upstream as a share of a regular one's; 0 if there are none.
	SpotRatio float64
	// BootTime is the time from an order until a new upstream serves.
	BootTime time.Duration
	// Demand is the work that callers ask for, refused requests included, in upstreams.
	Demand float64
}

func (p *Pool) size() int {
	n := 0
	for _, c := range p.Centres {
		n += c.Regular + c.Spot
	}
	return n
}

// Order is the number of upstreams of one kind that a data centre should have.
type Order struct {
	Centre string
	Spot   bool
	Count  int
	Reason string
}

type orderKey struct {
	centre string
	spot   bool
}

// placed is the last order of a kind in a data centre.
type placed struct {
	count int
	at    time.Time
	// accepted is false while the outcome of the order isn't known.
	accepted bool
}

// refusal says how long no spot upstreams are ordered in a data centre.
type refusal struct {
	until   time.Time
	backoff time.Duration
}

// Sizer decides the size of one pool. It isn't safe for concurrent use.
type Sizer struct {
	cfg      Config
	placed   map[orderKey]placed
	refusals map[string]refusal
	// initial is the size at the first decision.
	initial int
	// peak is the largest demand seen, at peakAt.
	peak   float64
	peakAt time.Time
	// demandSince is when demand was first seen.
	demandSince time.Time
}

// NewSizer returns a sizer that has given no orders.
func NewSizer(cfg Config) *Sizer {
	return &Sizer{cfg: cfg.withDefaults(), placed: make(map[orderKey]placed), refusals: make(map[string]refusal)}
}

// Decide returns the orders to give now. Each must be followed by Placed.
func (s *Sizer) Decide(p Pool, now time.Time) []Order {
	if len(p.Centres) == 0 || p.size() == 0 || p.Max <= 0 {
		return nil
	}
	if s.initial == 0 {
		s.initial = p.size()
	}
	n := s.needs(p, now)
	booting := func(centre string) int { return s.booting(centre, p.BootTime, now) }
	target := compose(p, n, supply{
		booting:  booting,
		refused:  func(centre string) bool { return now.Before(s.refusals[centre].until) },
		doubtful: func(centre string) bool { return s.refusals[centre] != (refusal{}) },
	})
	return s.orders(p, keepServing(p, target, n, booting), n, now)
}

// booting returns the number of regular upstreams last ordered in a data centre, while they may still
// come.
func (s *Sizer) booting(centre string, bootTime time.Duration, now time.Time) int {
	last, ordered := s.placed[orderKey{centre, false}]
	if !ordered || now.Sub(last.at) > bootTime+settleMargin {
		return 0
	}
	return last.count
}

// minDemand is the demand from which a pool counts as used.
const minDemand = 0.01

// needs returns what the pool needs.
func (s *Sizer) needs(p Pool, now time.Time) needs {
	s.observe(p.Demand, now)
	n := needs{cover: max(1, ceil(s.peak/s.cfg.SpotUtilisation)), work: ceil(s.peak / s.cfg.WorkUtilisation)}
	if s.demandSince.IsZero() || now.Sub(s.demandSince) < s.cfg.ObservationTime {
		// The demand isn't known yet: what was there before is kept.
		n.cover = max(n.cover, s.initialNeed(p))
		n.work = max(n.work, s.initial)
	}
	return n
}

// observe records the present demand.
func (s *Sizer) observe(demand float64, now time.Time) {
	if demand >= s.peak || now.Sub(s.peakAt) > s.cfg.PeakMemory {
		s.peak, s.peakAt = demand, now
	}
	if s.demandSince.IsZero() && demand > minDemand {
		s.demandSince = now
	}
}

func ceil(x float64) int { return int(math.Ceil(x)) }

// initialNeed returns the cover for which the composition has the initial size.
func (s *Sizer) initialNeed(p Pool) int {
	if n := len(p.Centres); p.SpotRatio > 0 && n > 1 {
		return s.initial * (n - 1) / n
	}
	return s.initial
}

// orders returns the orders that lead to a composition.
func (s *Sizer) orders(p Pool, target []composition, n needs, now time.Time) []Order {
	reason := fmt.Sprintf("%d must be left of %d, and %d in any case, for a demand of %.1f, at most %.1f", n.cover, p.size(), n.work, p.Demand, s.peak)
	missing := n.work - p.size()
	var orders []Order
	order := func(c Centre, spot bool, have, target int) {
		key := orderKey{c.Name, spot}
		count := limitChange(have, target, missing)
		if count != target && now.Sub(s.placed[key].at) < p.BootTime {
			return // the effect of the last step isn't known yet
		}
		if s.due(key, have, count, p.BootTime, now) {
			orders = append(orders, Order{Centre: c.Name, Spot: spot, Count: count, Reason: reason})
		}
	}
	for i, c := range p.Centres {
		if p.SpotRatio > 0 {
			order(c, true, c.Spot, target[i].spot)
		}
		order(c, false, c.Regular, target[i].regular)
	}
	return orders
}

// maxOrderChange is the number of upstreams by which an order changes their number at most, unless more
// are missing: every daemon has to learn of each.
const maxOrderChange = 20

// limitChange returns the count to order on the way to a target.
func limitChange(have, target, missing int) int {
	return min(max(target, have-maxOrderChange), have+max(maxOrderChange, missing))
}

// settleMargin is added to the boot time before the present number is compared with an order.
const settleMargin = 2 * time.Second

// due reports whether an order for a number has to be given: it differs from the last one, or
// that has had no effect in time.
func (s *Sizer) due(key orderKey, have, count int, bootTime time.Duration, now time.Time) bool {
	if key.spot && now.Before(s.refusals[key.centre].until) && count >= have {
		return false
	}
	last, ordered := s.placed[key]
	if !ordered {
		return count != have
	}
	if last.count != count || !last.accepted {
		return now.Sub(last.at) >= minOrderInterval
	}
	return have != count && now.Sub(last.at) > bootTime+settleMargin
}

// minOrderInterval is the minimum time between two orders of a kind in a data centre.
const minOrderInterval = time.Second

// Placed records an order that was given. accepted is false if its outcome isn't known.
func (s *Sizer) Placed(o Order, accepted bool, now time.Time) {
	s.placed[orderKey{o.Centre, o.Spot}] = placed{count: o.Count, at: now, accepted: accepted}
	if accepted && o.Spot {
		delete(s.refusals, o.Centre)
	}
}

// Refused records that spot upstreams aren't to be had in a data centre now.
func (s *Sizer) Refused(centre string, now time.Time) {
	r := s.refusals[centre]
	r.backoff = min(max(s.cfg.RefusalBackoff, 2*r.backoff), s.cfg.MaxBackoff)
	r.until = now.Add(r.backoff)
	s.refusals[centre] = r
}
