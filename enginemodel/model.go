package enginemodel

import (
	"time"

	"tamarackchute/upstream"
)

// What is assumed of engines that nothing was seen of, in milliseconds. An engine
// that is believed slow is sent nothing, and never shows that it is fast; so all are
// believed fast at first, and the first prompt says what is true. The units only say
// which of several explanations comes first.
var (
	// assumedStart is of an answer to a prompt of no length.
	assumedStart = coefficient{assumed: 0.5, unit: 0.5}
	// assumedToken is a prompt token read.
	assumedToken = coefficient{assumed: 0.001, unit: 0.001}
	// assumedPair is a million pairs of tokens that attend to each other.
	assumedPair = coefficient{assumed: 0, unit: 0.05}
	// assumedTakeover is from one engine's answer to the other's first event.
	assumedTakeover = coefficient{assumed: 2, unit: 2}
	// assumedMove is a thousand tokens moved.
	assumedMove = coefficient{assumed: 0.05, unit: 0.05}
	// assumedBehind is the share of the reading before it that a request taken over
	// waits for.
	assumedBehind = coefficient{assumed: 0.5, unit: 0.5}
	// assumedInterval is between two events of a stream alone on its engine,
	// assumedShared what each other stream there adds.
	assumedInterval = coefficient{assumed: 5, unit: 5}
	assumedShared   = coefficient{assumed: 0.02, unit: 0.02}
)

// assumedOutput is a token generated.
const assumedOutput = 0.2

// beside is how much longer an engine that generates is assumed to read, as it does so
// between the tokens of its streams.
const beside = 2.0

// Prompt is what an engine has to read of a prompt.
type Prompt struct {
	// Tokens are to be read, after Context tokens that it keeps already.
	Tokens, Context int
}

// pairs is the number of pairs of tokens, in millions, that attention has to look
// at: each token that is read looks at all before it.
func (p Prompt) pairs() float64 {
	read, kept := float64(p.Tokens), float64(p.Context)
	return read * (kept + read/2) / 1e6
}

// Model learns the figures of the engines of one pool. It isn't safe for use by many
// goroutines; what Figures returns is.
type Model struct {
	reading  map[upstream.Role]*fit
	takeover *fit
	interval *fit
	// generated and events sum up the times of whole streams and their events, expected
	// the tokens that were expected of them.
	generated, events, expected float64
	// answers are those asked for.
	answers ResponseStats
	// typical is the smoothed time of reading a prompt, in milliseconds.
	typical float64
	// others is what other processes have observed, by their names.
	others map[string]Observations
	errors map[upstream.Role]*errorShares
	// current is nil if something was learnt since it was last asked for: others tell far
	// more often what they have learnt than anything is decided by it.
	current *Parameters
}

// New returns a model that has seen nothing.
func New() *Model {
	m := &Model{
		reading: map[upstream.Role]*fit{
			upstream.RolePrefill: newFit(assumedStart, assumedToken, assumedPair),
			upstream.RoleDecode:  newFit(assumedStart, assumedToken.times(beside), assumedPair.times(beside)),
		},
		takeover: newFit(assumedTakeover, assumedMove, assumedBehind),
		interval: newFit(assumedInterval, assumedShared),
		others:   make(map[string]Observations),
		errors: map[upstream.Role]*errorShares{
			upstream.RolePrefill: newErrorShares(),
			upstream.RoleDecode:  newErrorShares(),
		},
	}
	return m
}

// Figures returns what is known now. It never changes.
func (m *Model) Parameters() *Parameters {
	if m.current == nil {
		m.current = m.figures()
	}
	return m.current
}

func (m *Model) figures() *Parameters {
	for _, f := range []*fit{m.reading[upstream.RolePrefill], m.reading[upstream.RoleDecode], m.takeover, m.interval} {
		f.settle()
	}
	prefill, decode := m.readings()
	streams := m.streams()
	return &Parameters{
		prefill: prefill, decode: decode,
		takeover: handoffOf(m.takeover), interval: lineOf(m.interval),
		output: streams.output(), events: streams.eventsPerToken(), typical: m.typicalOfAll(),
		longest: streams.Answers.longest(), left: streams.Answers.left(),
		known: map[upstream.Role]bool{
			upstream.RolePrefill: m.reading[upstream.RolePrefill].count() > 0,
			upstream.RoleDecode:  m.reading[upstream.RoleDecode].count() > 0,
		},
	}
}

// readings returns what is known of reading by role. A role that nothing was seen of is
// taken to be to the other as assumed: beside engines that are known to be fast, the
// assumption alone would make engines of the other role look slow, and none would be
// given it.
func (m *Model) readings() (prefill, decode reading) {
	read, generate := m.reading[upstream.RolePrefill], m.reading[upstream.RoleDecode]
	prefill, decode = readingOf(read), readingOf(generate)
	switch {
	case read.count() == 0 && generate.count() > 0:
		prefill = decode.times(1 / beside)
	case generate.count() == 0 && read.count() > 0:
		decode = prefill.times(beside)
	}
	return prefill, decode
}

// typicalStep is the weight of one prompt in the typical reading.
const typicalStep = 0.02

// Read is a prompt that an engine has read, as it was seen.
type PrefillSample struct {
	Role upstream.Role
	Prompt
	// Took is the time from its sending to the sign that it had been read, Ahead
	// that which the prompts sent there before were believed to take.
	Took, QueueTime time.Duration
	// Alone says that no other prompt waited there when it was sent.
	QueueEmpty bool
}

// behindWeight is what a prompt that had to wait for others counts. The belief about
// those is part of what it seems to take: a model that learns from its own errors can
// come to believe that all prompts take the same, let everything in, and see nothing
// else from then on.
const behindWeight = 0.02

// LearnRead takes a prompt that was read.
func (m *Model) LearnPrefill(r PrefillSample) {
	f := m.reading[r.Role]
	if f == nil || r.Tokens <= 0 {
		return
	}
	took, ahead := Millis(r.Took), Millis(r.QueueTime)
	own := m.Parameters().PrefillMillis(r.Role, r.Prompt)
	m.errors[r.Role].note(took, ahead+own+f.coef[0])
	if m.typical == 0 {
		m.typical = own
	}
	m.typical += typicalStep * (own - m.typical)
	if alone := took - ahead; alone > 0 {
		weight := behindWeight
		if r.QueueEmpty {
			weight = 1
		}
		f.learn(alone, weight, 1, float64(r.Tokens), r.pairs())
	}
	m.current = nil
}

// LearnTakeover takes the time until an engine that took a KV cache over gave its
// first event, and the reading that waited there, in milliseconds.
func (m *Model) LearnHandoff(tokens int, queue float64, took time.Duration) {
	m.takeover.learn(Millis(took), 1, 1, float64(tokens)/1000, queue)
	m.current = nil
}

// LearnInterval takes a time between two events during which the engine read nothing.
func (m *Model) LearnInterval(others int, took time.Duration) {
	m.interval.learn(Millis(took), 1, 1, float64(max(0, others)))
	m.current = nil
}

// generationMemory is the number of expected tokens over which the time of one is
// averaged.
const generationMemory = 20_000.0

// LearnGeneration takes the time from the first event of a whole stream to its last, and
// how many events it had.
func (m *Model) LearnStream(expected, events int, took time.Duration) {
	m.generated += Millis(took)
	m.events += float64(events)
	m.expected += float64(expected)
	if m.expected > generationMemory {
		keep := generationMemory / m.expected
		m.generated *= keep
		m.events *= keep
		m.expected *= keep
	}
	m.current = nil
}

// Millis returns a time in milliseconds, the unit of all figures here.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
