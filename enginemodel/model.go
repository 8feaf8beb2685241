package enginemodel

import (
	"time"

	"tamarackchute/upstream"
)

// The priors of the coefficients, in milliseconds. An engine believed to be slow would get
// no work and never prove to be fast, so all are assumed to be fast until the first
// observation. The units only decide which of several explanations prevails.
var (
	// assumedStart is the time to respond to an empty prompt.
	assumedStart = coefficient{assumed: 0.5, unit: 0.5}
	// assumedToken is the prefill time per token.
	assumedToken = coefficient{assumed: 0.001, unit: 0.001}
	// assumedPair is the prefill time per million pairs of tokens that attend to each
	// other.
	assumedPair = coefficient{assumed: 0, unit: 0.05}
	// assumedHandoff is the time from the response of one engine to the first event of the
	// other.
	assumedHandoff = coefficient{assumed: 2, unit: 2}
	// assumedTransfer is the KV transfer time per thousand tokens.
	assumedTransfer = coefficient{assumed: 0.05, unit: 0.05}
	// assumedQueueShare is the share of the pending prefill work that a handed-over request
	// waits for.
	assumedQueueShare = coefficient{assumed: 0.5, unit: 0.5}
	// assumedInterval is the interval between two events of a stream alone on its engine,
	// assumedPerStream what each concurrent stream adds.
	assumedInterval  = coefficient{assumed: 5, unit: 5}
	assumedPerStream = coefficient{assumed: 0.02, unit: 0.02}
)

// assumedMillisPerToken is the assumed decode time per token.
const assumedMillisPerToken = 0.2

// decodePrefillFactor is the assumed ratio of prefill times on decode engines to those on
// prefill engines, as decode engines prefill between the tokens of their streams.
const decodePrefillFactor = 2.0

// Prompt is the part of a prompt that an engine has to prefill.
type Prompt struct {
	// Tokens are to be prefilled after Context tokens that are cached.
	Tokens, Context int
}

// pairs is the number of pairs of tokens, in millions, that attention computes: each
// prefilled token attends to all before it.
func (p Prompt) pairs() float64 {
	tokens, context := float64(p.Tokens), float64(p.Context)
	return tokens * (context + tokens/2) / 1e6
}

// Model learns the parameters of the engines of one pool. It isn't safe for concurrent use;
// the Parameters that it returns are.
type Model struct {
	prefill  map[upstream.Role]*fit
	handoff  *fit
	interval *fit
	// streamMillis and streamEvents sum up the durations and events of complete streams,
	// streamTokens the tokens expected of them. They decay.
	streamMillis, streamEvents, streamTokens float64
	// responses are the statistics of long responses requested here.
	responses ResponseStats
	// typical is the smoothed prefill time, in milliseconds.
	typical float64
	// others are the observations of other processes, by their names.
	others map[string]Observations
	errors map[upstream.Role]*errorHistogram
	// current caches the parameters; nil after new observations. Observations of others
	// arrive far more often than parameters are needed.
	current *Parameters
}

// New returns a model without observations.
func New() *Model {
	m := &Model{
		prefill: map[upstream.Role]*fit{
			upstream.RolePrefill: newFit(assumedStart, assumedToken, assumedPair),
			upstream.RoleDecode:  newFit(assumedStart, assumedToken.times(decodePrefillFactor), assumedPair.times(decodePrefillFactor)),
		},
		handoff:  newFit(assumedHandoff, assumedTransfer, assumedQueueShare),
		interval: newFit(assumedInterval, assumedPerStream),
		others:   make(map[string]Observations),
		errors: map[upstream.Role]*errorHistogram{
			upstream.RolePrefill: newErrorHistogram(),
			upstream.RoleDecode:  newErrorHistogram(),
		},
	}
	return m
}

// Parameters returns the current parameters. The result is never modified.
func (m *Model) Parameters() *Parameters {
	if m.current == nil {
		m.current = m.computeParameters()
	}
	return m.current
}

func (m *Model) computeParameters() *Parameters {
	for _, f := range []*fit{m.prefill[upstream.RolePrefill], m.prefill[upstream.RoleDecode], m.handoff, m.interval} {
		f.refresh()
	}
	prefill, decode := m.prefillCosts()
	streams := m.allStreams()
	return &Parameters{
		prefill: prefill, decode: decode,
		handoff: handoffOf(m.handoff), interval: linearOf(m.interval),
		millisPerToken: streams.millisPerToken(), eventsPerToken: streams.eventsPerToken(), typicalPrefill: m.meanTypical(),
		longTokens: streams.Responses.longTokens(), longMillis: streams.Responses.meanTimeLeft(),
		known: map[upstream.Role]bool{
			upstream.RolePrefill: m.prefill[upstream.RolePrefill].count() > 0,
			upstream.RoleDecode:  m.prefill[upstream.RoleDecode].count() > 0,
		},
	}
}

// prefillCosts returns the prefill cost by role. For a role without observations it is
// derived from the other role: next to observed fast engines the mere prior would make
// engines of the other role look slow, and none would be given that role.
func (m *Model) prefillCosts() (prefill, decode prefillCost) {
	prefillFit, decodeFit := m.prefill[upstream.RolePrefill], m.prefill[upstream.RoleDecode]
	prefill, decode = prefillCostOf(prefillFit), prefillCostOf(decodeFit)
	switch {
	case prefillFit.count() == 0 && decodeFit.count() > 0:
		prefill = decode.times(1 / decodePrefillFactor)
	case decodeFit.count() == 0 && prefillFit.count() > 0:
		decode = prefill.times(decodePrefillFactor)
	}
	return prefill, decode
}

// typicalStep is the weight of one prompt in the typical prefill time.
const typicalStep = 0.02

// PrefillSample is an observed prefill.
type PrefillSample struct {
	Role upstream.Role
	Prompt
	// Took is the time from sending the prompt to the sign that it was prefilled, QueueTime
	// the expected duration of the work queued before it.
	Took, QueueTime time.Duration
	// QueueEmpty is set if no other prefill was pending when the prompt was sent.
	QueueEmpty bool
}

// queuedWeight is the weight of a prefill that was queued behind others. Its duration
// depends on the predictions for those; a model that learns from its own errors can
// converge to the same time for all prompts, admit everything, and never observe anything
// else.
const queuedWeight = 0.02

// LearnPrefill records a prefill.
func (m *Model) LearnPrefill(sample PrefillSample) {
	f := m.prefill[sample.Role]
	if f == nil || sample.Tokens <= 0 {
		return
	}
	took, queued := Millis(sample.Took), Millis(sample.QueueTime)
	expected := m.Parameters().PrefillMillis(sample.Role, sample.Prompt)
	m.errors[sample.Role].record(took, queued+expected+f.coef[0])
	if m.typical == 0 {
		m.typical = expected
	}
	m.typical += typicalStep * (expected - m.typical)
	if net := took - queued; net > 0 {
		weight := queuedWeight
		if sample.QueueEmpty {
			weight = 1
		}
		f.learn(net, weight, 1, float64(sample.Tokens), sample.pairs())
	}
	m.current = nil
}

// LearnHandoff records the time from the handoff to the engine's first event, with the
// prefill work pending there in milliseconds.
func (m *Model) LearnHandoff(tokens int, queue float64, took time.Duration) {
	m.handoff.learn(Millis(took), 1, 1, float64(tokens)/1000, queue)
	m.current = nil
}

// LearnInterval records the time between two events during which the engine did no prefill.
func (m *Model) LearnInterval(others int, took time.Duration) {
	m.interval.learn(Millis(took), 1, 1, float64(max(0, others)))
	m.current = nil
}

// streamMemory is the number of expected tokens over which stream observations are
// averaged.
const streamMemory = 20_000.0

// LearnStream records the time from the first to the last event of a complete stream, and
// its number of events.
func (m *Model) LearnStream(expected, events int, took time.Duration) {
	m.streamMillis += Millis(took)
	m.streamEvents += float64(events)
	m.streamTokens += float64(expected)
	if m.streamTokens > streamMemory {
		keep := streamMemory / m.streamTokens
		m.streamMillis *= keep
		m.streamEvents *= keep
		m.streamTokens *= keep
	}
	m.current = nil
}

// Millis returns a duration in milliseconds, the unit of all times in this package.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
