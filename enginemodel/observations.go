package enginemodel

import (
	"math"
	"slices"

	"tamarackchute/upstream"
)

// Observations are what one process has observed of the engines of a pool. Processes
// exchange them so that each knows the observations of all: a process that has just started
// would otherwise begin with guesses, and admit requests that miss their objectives.
type Observations struct {
	// Prefill and Decode are the prefills on the engines of these roles, Handoff the
	// handoffs, Interval the intervals between events.
	Prefill, Decode Stats
	Handoff         Stats `msgpack:"Takeover" json:"Takeover"`
	Interval        Stats
	// Generated is the total duration of complete streams in milliseconds, Events their
	// number of events, Expected the number of tokens expected of them.
	Generated, Events, Expected float64
	// Responses are the statistics of the long responses requested.
	Responses ResponseStats `msgpack:"Answers" json:"Answers"`
	// Typical is the smoothed prefill time in milliseconds; 0 without observations.
	Typical float64
}

// LocalObservations returns what this process has observed.
func (m *Model) LocalObservations() Observations {
	return Observations{
		Prefill: m.prefill[upstream.RolePrefill].local.clone(), Decode: m.prefill[upstream.RoleDecode].local.clone(),
		Handoff: m.handoff.local.clone(), Interval: m.interval.local.clone(),
		Generated: m.streamMillis, Events: m.streamEvents, Expected: m.streamTokens, Responses: m.responses, Typical: m.typical,
	}
}

func (s Stats) clone() Stats {
	return Stats{Normal: slices.Clone(s.Normal), Right: slices.Clone(s.Right), Count: s.Count}
}

// maxStatistic bounds each number of another process's observations, so that their sums and products are
// finite.
const maxStatistic = 1e30

// valid reports whether the numbers can be observations: an infinite one would spoil all sums for good.
func (o Observations) valid() bool {
	all := []float64{o.Generated, o.Events, o.Expected, o.Typical, o.Responses.Count, o.Responses.Tokens, o.Responses.Squares, o.Responses.Left}
	for _, s := range []Stats{o.Prefill, o.Decode, o.Handoff, o.Interval} {
		all = slices.Concat(all, s.Normal, s.Right)
	}
	return !slices.ContainsFunc(all, func(x float64) bool { return math.IsNaN(x) || math.Abs(x) > maxStatistic })
}

// Merge replaces the observations of another process, and reports whether they are valid.
func (m *Model) Merge(from string, o Observations) bool {
	if !o.valid() {
		return false
	}
	m.prefill[upstream.RolePrefill].merge(from, o.Prefill)
	m.prefill[upstream.RoleDecode].merge(from, o.Decode)
	m.handoff.merge(from, o.Handoff)
	m.interval.merge(from, o.Interval)
	if o.Typical > 0 {
		m.others[from] = o
	}
	m.current = nil
	return true
}

// allStreams sums up the stream observations of all processes.
func (m *Model) allStreams() Observations {
	all := Observations{Generated: m.streamMillis, Events: m.streamEvents, Expected: m.streamTokens, Responses: m.responses}
	for _, o := range m.others {
		all.Generated += o.Generated
		all.Events += o.Events
		all.Expected += o.Expected
		all.Responses = all.Responses.plus(o.Responses)
	}
	return all
}

// millisPerToken returns the time to decode a token.
func (o Observations) millisPerToken() float64 {
	if o.Expected <= 0 {
		return assumedMillisPerToken
	}
	return o.Generated / o.Expected
}

// eventsPerToken returns the number of events per expected token; 0 if no complete stream
// has been observed.
func (o Observations) eventsPerToken() float64 {
	if o.Expected <= 0 {
		return 0
	}
	return o.Events / o.Expected
}

// meanTypical returns the typical prefill time averaged over the processes.
func (m *Model) meanTypical() float64 {
	sum, n := 0.0, 0.0
	if m.typical > 0 {
		sum, n = m.typical, 1
	}
	for _, o := range m.others {
		sum += o.Typical
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// AllObservations returns the combined observations of all processes; ok is false if there
// are none. The sums of streams and long responses are scaled to the memory of one process.
func (m *Model) AllObservations() (o Observations, ok bool) {
	o = Observations{
		Prefill: m.prefill[upstream.RolePrefill].sum(), Decode: m.prefill[upstream.RoleDecode].sum(),
		Handoff: m.handoff.sum(), Interval: m.interval.sum(),
		Typical: m.meanTypical(),
	}
	streams := m.allStreams()
	o.Expected = streamMemory
	o.Generated, o.Events = streams.millisPerToken()*o.Expected, streams.eventsPerToken()*o.Expected
	if n := streams.Responses.Count; n > 0 {
		o.Responses = streams.Responses.times(min(n, responseMemory) / n)
	}
	return o, o.Prefill.Count+o.Decode.Count > 0
}
