package enginemodel

import (
	"slices"

	"tamarackchute/upstream"
)

// Learnt is what one process has observed of the engines of a pool. The processes tell
// each other, so that each knows what all have seen: one that has just started would
// otherwise begin with guesses, and let in what can't be in time.
type Observations struct {
	Prefill, Decode    Stats
	Takeover, Interval Stats
	// Generated is the time of whole streams, in milliseconds, Events the number of
	// their events, Expected the tokens that were expected of them.
	Generated, Events, Expected float64
	// Answers are the long answers asked for.
	Answers ResponseStats
	// Typical is the smoothed time of reading a prompt, in milliseconds; 0 if none
	// was read.
	Typical float64
}

// Learnt returns what this process has observed.
func (m *Model) LocalObservations() Observations {
	return Observations{
		Prefill: m.reading[upstream.RolePrefill].own.clone(), Decode: m.reading[upstream.RoleDecode].own.clone(),
		Takeover: m.takeover.own.clone(), Interval: m.interval.own.clone(),
		Generated: m.generated, Events: m.events, Expected: m.expected, Answers: m.answers, Typical: m.typical,
	}
}

func (s Stats) clone() Stats {
	return Stats{Normal: slices.Clone(s.Normal), Right: slices.Clone(s.Right), Count: s.Count}
}

// Merge takes over what another process has observed, in place of what it said before.
func (m *Model) Merge(from string, l Observations) {
	m.reading[upstream.RolePrefill].merge(from, l.Prefill)
	m.reading[upstream.RoleDecode].merge(from, l.Decode)
	m.takeover.merge(from, l.Takeover)
	m.interval.merge(from, l.Interval)
	if l.Typical > 0 {
		m.others[from] = l
	}
	m.current = nil
}

// streams sums up what all processes have seen of streams.
func (m *Model) streams() Observations {
	all := Observations{Generated: m.generated, Events: m.events, Expected: m.expected, Answers: m.answers}
	for _, l := range m.others {
		all.Generated += l.Generated
		all.Events += l.Events
		all.Expected += l.Expected
		all.Answers = all.Answers.plus(l.Answers)
	}
	return all
}

// output returns the time of generating a token.
func (l Observations) output() float64 {
	if l.Expected <= 0 {
		return assumedOutput
	}
	return l.Generated / l.Expected
}

// eventsPerToken returns the events that streams have for each token expected of them; 0 if
// none has been seen whole.
func (l Observations) eventsPerToken() float64 {
	if l.Expected <= 0 {
		return 0
	}
	return l.Events / l.Expected
}

// typicalOfAll returns the time of reading a prompt, averaged over the processes.
func (m *Model) typicalOfAll() float64 {
	sum, n := 0.0, 0.0
	if m.typical > 0 {
		sum, n = m.typical, 1
	}
	for _, l := range m.others {
		sum += l.Typical
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// LearntByAll returns what all processes together have observed; some is false if none
// has seen anything.
func (m *Model) AllObservations() (l Observations, some bool) {
	l = Observations{
		Prefill: m.reading[upstream.RolePrefill].sum(), Decode: m.reading[upstream.RoleDecode].sum(),
		Takeover: m.takeover.sum(), Interval: m.interval.sum(),
		Typical: m.typicalOfAll(),
	}
	streams := m.streams()
	l.Expected = generationMemory
	l.Generated, l.Events = streams.output()*l.Expected, streams.eventsPerToken()*l.Expected
	if n := streams.Answers.Count; n > 0 {
		l.Answers = streams.Answers.times(min(n, answersMemory) / n)
	}
	return l, l.Prefill.Count+l.Decode.Count > 0
}
