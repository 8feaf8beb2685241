package entry

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/admission"
	"tamarackchute/internal/wire"
	"tamarackchute/rules"
)

// demandWindow is the time constant of the demand's smoothing: what was asked
// that long ago counts about a third.
const demandWindow = 5 * time.Second

// demand measures what callers ask of each model. The number of models seen is
// bounded by those that the rules let through to an engine.
type demand struct {
	now func() time.Time

	mu     sync.Mutex
	models map[string]*modelDemand
}

type modelDemand struct{ requests, prompt, output rate }

// rate is a smoothed number a second.
type rate struct {
	sum  float64
	last time.Time
}

// add counts n at a time. The sum decays, so that divided by the window it is
// the rate.
func (r *rate) add(n float64, now time.Time) {
	if !r.last.IsZero() {
		r.sum *= math.Exp(-now.Sub(r.last).Seconds() / demandWindow.Seconds())
	}
	r.last = now
	r.sum += n
}

func (r *rate) perSecond(now time.Time) float64 {
	r.add(0, now)
	return r.sum / demandWindow.Seconds()
}

func newDemand(now func() time.Time) *demand {
	return &demand{now: now, models: map[string]*modelDemand{}}
}

// Asked counts a request that was let in.
func (d *demand) Asked(model string, promptTokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.model(model)
	now := d.now()
	m.requests.add(1, now)
	m.prompt.add(float64(promptTokens), now)
}

// Produced counts the tokens of an answer.
func (d *demand) Produced(model string, outputTokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model(model).output.add(float64(outputTokens), d.now())
}

func (d *demand) model(name string) *modelDemand {
	m := d.models[name]
	if m == nil {
		m = &modelDemand{}
		d.models[name] = m
	}
	return m
}

// report returns the demand for the leaders' picture.
func (d *demand) report() []wire.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	all := make([]wire.ModelDemand, 0, len(d.models))
	for name, m := range d.models {
		all = append(all, wire.ModelDemand{
			Model:              name,
			PromptTokensPerSec: m.prompt.perSecond(now),
			OutputTokensPerSec: m.output.perSecond(now),
			RequestsPerSec:     m.requests.perSecond(now),
		})
	}
	return all
}

// loadShare is the share of the local engines' capacity in use.
type loadShare struct{ bits atomic.Uint64 }

func (l *loadShare) set(v float64) { l.bits.Store(math.Float64bits(v)) }

func (l *loadShare) get() float64 { return math.Float64frombits(l.bits.Load()) }

// retries is admission's retry budget in the words of the runners.
type retries struct{ admission *admission.Controller }

// Allow implements answer.Retries and forward.Retries.
func (r retries) Allow() bool { return r.admission.MayRetry() }

// ruleSource matches requests against the rules in force.
type ruleSource struct {
	book     *rules.Book
	caughtUp <-chan struct{}
}

// Match implements gateway.Rules. Before the log has been read once, the zero
// version only means that nothing is known.
func (s ruleSource) Match(r rules.Request) (rules.Decision, bool) {
	inForce := s.current()
	if inForce == nil {
		return rules.Decision{}, false
	}
	return inForce.Set.Match(r), true
}

func (s ruleSource) current() *rules.InForce {
	inForce := s.book.Current()
	if inForce == nil || !inForce.Version.IsZero() {
		return inForce
	}
	select {
	case <-s.caughtUp:
		return inForce
	default:
		return nil
	}
}
