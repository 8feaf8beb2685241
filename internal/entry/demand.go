package entry

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/admission"
	"tamarackchute/apikey"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/wire"
	"tamarackchute/rules"
)

// The window is the time constant of the exponential smoothing: a request that old
// counts about a third. It is proportional to the time that a role change takes, as
// the demand serves to decide on role changes.
const (
	windowPerRoleChange = 0.5
	minDemandWindow     = 200 * time.Millisecond
)

// demandWindow returns the window of a deployment.
func demandWindow(r settings.Roles) time.Duration {
	w := time.Duration(windowPerRoleChange * r.ChangeSeconds * float64(time.Second))
	return max(w, minDemandWindow)
}

// demandMeter measures the tokens and requests that callers demand of each model,
// whether admitted or not. The work that the engines did never exceeds their capacity
// and would hide a shortage from the leaders, which can end it by role changes.
type demandMeter struct {
	now    func() time.Time
	window time.Duration

	mu sync.Mutex
	// models is bounded by the models that the rules route to an engine.
	models map[string]*modelDemand
}

type modelDemand struct {
	requests, prompt, output rate
	// promptRatio and outputRatio correct the estimates: the engine's count of prompt
	// tokens over the estimate, and the output tokens of complete responses over their
	// bounds.
	promptRatio, outputRatio float64
}

// ratioWeight is the weight of one response in the moving averages of the ratios.
const ratioWeight = 0.02

// rate is an exponentially smoothed rate per second.
type rate struct {
	sum  float64
	last time.Time
}

// add counts n at a time. The sum decays exponentially, so that the sum divided by
// the window is the rate.
func (r *rate) add(n float64, now time.Time, window time.Duration) {
	if !r.last.IsZero() {
		r.sum *= math.Exp(-now.Sub(r.last).Seconds() / window.Seconds())
	}
	r.last = now
	r.sum += n
}

func (r *rate) perSecond(now time.Time, window time.Duration) float64 {
	r.add(0, now, window)
	return r.sum / window.Seconds()
}

func newDemandMeter(now func() time.Time, window time.Duration) *demandMeter {
	return &demandMeter{now: now, window: window, models: map[string]*modelDemand{}}
}

// RecordRequest implements gateway.DemandRecorder.
func (d *demandMeter) RecordRequest(model string, promptTokens, maxTokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.model(model)
	now := d.now()
	m.requests.add(1, now, d.window)
	m.prompt.add(float64(promptTokens)*m.promptRatio, now, d.window)
	m.output.add(float64(maxTokens)*m.outputRatio, now, d.window)
}

// RecordResponse implements gateway.DemandRecorder: it updates the ratios from a
// complete response.
func (d *demandMeter) RecordResponse(model string, promptTokens, maxTokens, prompt, output int) {
	if promptTokens <= 0 || maxTokens <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.model(model)
	m.promptRatio += ratioWeight * (float64(prompt)/float64(promptTokens) - m.promptRatio)
	m.outputRatio += ratioWeight * (float64(output)/float64(maxTokens) - m.outputRatio)
}

func (d *demandMeter) model(name string) *modelDemand {
	m := d.models[name]
	if m == nil {
		m = &modelDemand{promptRatio: 1, outputRatio: 1}
		d.models[name] = m
	}
	return m
}

// report returns the demand that is reported to the leaders.
func (d *demandMeter) report() []wire.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	all := make([]wire.ModelDemand, 0, len(d.models))
	for name, m := range d.models {
		all = append(all, wire.ModelDemand{
			Model:              name,
			PromptTokensPerSec: m.prompt.perSecond(now, d.window),
			OutputTokensPerSec: m.output.perSecond(now, d.window),
			RequestsPerSec:     m.requests.perSecond(now, d.window),
		})
	}
	return all
}

// loadFraction is the fraction in use of the capacity of the data centre's engines.
type loadFraction struct{ bits atomic.Uint64 }

func (l *loadFraction) set(v float64) { l.bits.Store(math.Float64bits(v)) }

func (l *loadFraction) get() float64 { return math.Float64frombits(l.bits.Load()) }

// retryBudget adapts admission's retry budget to the runners.
type retryBudget struct{ admission *admission.Controller }

// Allow implements answer.RetryBudget and forward.RetryBudget.
func (r retryBudget) Allow() bool { return r.admission.MayRetry() }

// ruleSource matches requests against the rules that are in force.
type ruleSource struct {
	replica  *rules.Replica
	caughtUp <-chan struct{}
}

// Match implements gateway.Rules. Until the log has been read once, the zero version
// means that no rules are known yet.
func (s ruleSource) Match(r rules.Request) (rules.Decision, bool) {
	inForce := s.current()
	if inForce == nil {
		return rules.Decision{}, false
	}
	return inForce.Set.Match(r), true
}

// Version implements gateway.Rules.
func (s ruleSource) Version() rules.Version {
	inForce := s.current()
	if inForce == nil {
		return rules.Version{}
	}
	return inForce.Version
}

// Holds implements gateway.Rules.
func (s ruleSource) Holds(key *apikey.Digest, organisation string) bool {
	inForce := s.current()
	return inForce != nil && inForce.Set.Holds(key, organisation)
}

func (s ruleSource) current() *rules.InForce {
	inForce := s.replica.Current()
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
