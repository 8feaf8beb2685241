package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Kind is the form of a request.
type Kind string

// The kinds of request.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	// KindProtected is a call that runs at most once.
	KindProtected Kind = "protected"
	// KindLookup is a call to a plain service that may be repeated.
	KindLookup Kind = "lookup"
)

// Range is a span of whole numbers, both ends included.
type Range struct{ Min, Max int }

func (r Range) draw(rng *rand.Rand) int {
	return r.Min + rng.IntN(r.Max-r.Min+1)
}

func (r Range) mean() float64 { return float64(r.Min+r.Max) / 2 }

// Class is a sort of request that callers send.
type Class struct {
	Name string
	Kind Kind
	// Path is for calls to plain services.
	Path string
	// Prompt and Output are tokens: of the prompt, and the bound on the answer.
	Prompt Range
	Output Range
	// Streamed is the share of the requests that are streamed.
	StreamedShare float64
	// Deadline is how long the answer is worth something.
	Deadline time.Duration
}

// answered is the mean share of its bound that a stand-in's answer reaches.
const answered = 5.0 / 6

// Phase is a mix that lasts for a while: requests a second by class.
type Phase struct {
	Name   string
	Length time.Duration
	Rates  map[string]float64
}

// Mix is a load over time.
type Mix struct {
	Name    string
	Classes []Class
	Phases  []Phase
}

// Class returns the class of a name, and whether there is one.
func (m Mix) Class(name string) (Class, bool) {
	i := slices.IndexFunc(m.Classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return m.Classes[i], true
}

// Length is the time that all phases take.
func (m Mix) Length() time.Duration {
	var total time.Duration
	for _, p := range m.Phases {
		total += p.Length
	}
	return total
}

// Demand is what a phase asks of the engines.
type Demand struct {
	PromptPerSec, OutputPerSec, RequestsPerSec float64
}

// Demand returns the mean demand of a phase on the engines.
func (m Mix) Demand(p Phase) Demand {
	var d Demand
	for _, c := range m.Classes {
		if c.Kind != KindCompletion && c.Kind != KindChat {
			continue
		}
		rate := p.Rates[c.Name]
		d.PromptPerSec += rate * c.Prompt.mean()
		d.OutputPerSec += rate * c.Output.mean() * answered
		d.RequestsPerSec += rate
	}
	return d
}

// Scaled is the mix in a fraction of the time: phases and deadlines are shorter
// and requests come faster by the same factor.
func (m Mix) Scaled(factor float64) Mix {
	out := Mix{Name: m.Name, Classes: slices.Clone(m.Classes)}
	for i := range out.Classes {
		out.Classes[i].Deadline = shorter(out.Classes[i].Deadline, factor)
	}
	for _, p := range m.Phases {
		rates := make(map[string]float64, len(p.Rates))
		for class, rate := range p.Rates {
			rates[class] = rate * factor
		}
		out.Phases = append(out.Phases, Phase{Name: p.Name, Length: shorter(p.Length, factor), Rates: rates})
	}
	return out
}

func shorter(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) / factor)
}

// Arrival is one request of a recorded mix.
type Arrival struct {
	// At is when the request is to be sent, from the start of the run.
	At    time.Duration
	Class string
	// Seed fixes the request's text, its key and its organisation.
	Seed     uint64
	Prompt   int
	Output   int
	Streamed bool
	// Caller is the number of the caller that sends it.
	Caller int
}

// Arrivals draws the requests of a mix: per class a Poisson process with the
// rate of the phase. The same seed gives the same requests.
func (m Mix) Arrivals(seed uint64, callers int) []Arrival {
	var out []Arrival
	for i, c := range m.Classes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		start := time.Duration(0)
		for _, p := range m.Phases {
			out = append(out, drawPhase(rng, c, p, start, callers)...)
			start += p.Length
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

func drawPhase(rng *rand.Rand, c Class, p Phase, start time.Duration, callers int) []Arrival {
	rate := p.Rates[c.Name]
	if rate <= 0 {
		return nil
	}
	var out []Arrival
	for at := 0.0; ; {
		at += -math.Log(1-rng.Float64()) / rate
		offset := time.Duration(at * float64(time.Second))
		if offset >= p.Length {
			return out
		}
		out = append(out, Arrival{
			At:       start + offset,
			Class:    c.Name,
			Seed:     rng.Uint64(),
			Prompt:   c.Prompt.draw(rng),
			Output:   c.Output.draw(rng),
			Streamed: rng.Float64() < c.StreamedShare,
			Caller:   rng.IntN(callers),
		})
	}
}

// writeArrivals records a mix, so that what was sent can be looked up.
func writeArrivals(path string, arrivals []Arrival) error {
	header := []string{"at_ms", "class", "seed", "prompt", "output", "streamed", "caller"}
	return writeCSV(path, header, len(arrivals), func(i int) []string {
		a := arrivals[i]
		return []string{millis(a.At), a.Class, strconv.FormatUint(a.Seed, 10), strconv.Itoa(a.Prompt),
			strconv.Itoa(a.Output), strconv.FormatBool(a.Streamed), strconv.Itoa(a.Caller)}
	})
}
