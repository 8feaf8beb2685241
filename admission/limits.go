package admission

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"
)

// limitKey identifies what shares a limit: a rule, or an organisation under it.
type limitKey struct{ rule, organisation string }

func keyOf(l *Limit, organisation string) limitKey {
	if l.PerOrganisation {
		return limitKey{l.Rule, organisation}
	}
	return limitKey{rule: l.Rule}
}

// limits holds the state of the rules' limits. The least recently used rate
// limiters are evicted; their organisations then start with a full bucket, which
// allows one extra burst. Concurrency counts exist only while they aren't zero.
type limits struct {
	rates   *simplelru.LRU[limitKey, *rate.Limiter]
	running map[limitKey]int
}

func newLimits(bound int) *limits {
	rates, _ := simplelru.NewLRU[limitKey, *rate.Limiter](max(1, bound), nil)
	return &limits{rates: rates, running: map[limitKey]int{}}
}

// acquire counts a request against all its limits, or returns the refusal. A
// request that a later limit refuses has still used a token of the earlier rates.
func (l *limits) acquire(r *Request, now time.Time) *Refusal {
	for i := range r.Limits {
		lim := &r.Limits[i]
		if lim.Concurrent > 0 && l.running[keyOf(lim, r.Organisation)] >= lim.Concurrent {
			return &Refusal{Reason: ReasonConcurrent, RetryAfter: retryAfter(r.Estimate.Complete), Rule: lim.Rule}
		}
	}
	for i := range r.Limits {
		if ref := l.acquireRate(&r.Limits[i], r.Organisation, now); ref != nil {
			return ref
		}
	}
	for i := range r.Limits {
		if r.Limits[i].Concurrent > 0 {
			l.running[keyOf(&r.Limits[i], r.Organisation)]++
		}
	}
	return nil
}

func (l *limits) acquireRate(lim *Limit, organisation string, now time.Time) *Refusal {
	if lim.RequestsPerSecond <= 0 {
		return nil
	}
	k := keyOf(lim, organisation)
	burst := int(math.Max(1, math.Ceil(lim.RequestsPerSecond)))
	lr, ok := l.rates.Get(k)
	if !ok || lr.Limit() != rate.Limit(lim.RequestsPerSecond) {
		lr = rate.NewLimiter(rate.Limit(lim.RequestsPerSecond), burst)
		l.rates.Add(k, lr)
	}
	if lr.AllowN(now, 1) {
		return nil
	}
	missing := 1 - lr.TokensAt(now)
	wait := time.Duration(missing / lim.RequestsPerSecond * float64(time.Second))
	return &Refusal{Reason: ReasonRate, RetryAfter: retryAfter(wait), Rule: lim.Rule}
}

// release gives back the request's places under concurrency limits.
func (l *limits) release(r *Request) {
	for i := range r.Limits {
		if r.Limits[i].Concurrent <= 0 {
			continue
		}
		k := keyOf(&r.Limits[i], r.Organisation)
		if l.running[k]--; l.running[k] <= 0 {
			delete(l.running, k)
		}
	}
}
