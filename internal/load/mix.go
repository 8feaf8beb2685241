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

// Range is a range of integers, including both bounds.
type Range struct{ Min, Max int }

func (r Range) draw(rng *rand.Rand) int {
	return r.Min + rng.IntN(r.Max-r.Min+1)
}

func (r Range) mean() float64 { return float64(r.Min+r.Max) / 2 }

// Class is a class of requests with common properties.
type Class struct {
	Name string
	Kind Kind
	// Path is the path of calls to plain services; empty for model requests.
	Path string
	// Prompt is the prompt's length in tokens, Output the limit on output tokens.
	Prompt Range
	Output Range
	// StreamedShare is the share of requests that are streamed.
	StreamedShare float64
	// Deadline is the time after which the response has no value.
	Deadline time.Duration
}

// meanOutputShare is the mean length of a stand-in's output as a share of the limit.
const meanOutputShare = 5.0 / 6

// Phase is a period with constant rates, in requests per second by class.
type Phase struct {
	Name   string
	Length time.Duration
	Rates  map[string]float64
}

// Mix is a load that changes from phase to phase.
type Mix struct {
	Name    string
	Classes []Class
	Phases  []Phase
}

// Class returns the class of the given name, and whether there is one.
func (m Mix) Class(name string) (Class, bool) {
	i := slices.IndexFunc(m.Classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return m.Classes[i], true
}

// Length returns the total length of the phases.
func (m Mix) Length() time.Duration {
	var total time.Duration
	for _, p := range m.Phases {
		total += p.Length
	}
	return total
}

// Demand is the work per second that a phase demands of the engines.
type Demand struct {
	PromptPerSec, OutputPerSec, RequestsPerSec float64
}

// Demand returns the mean demand of a phase.
func (m Mix) Demand(p Phase) Demand {
	var d Demand
	for _, c := range m.Classes {
		if c.Kind != KindCompletion && c.Kind != KindChat {
			continue
		}
		rate := p.Rates[c.Name]
		d.PromptPerSec += rate * c.Prompt.mean()
		d.OutputPerSec += rate * c.Output.mean() * meanOutputShare
		d.RequestsPerSec += rate
	}
	return d
}

// Scaled returns the mix compressed in time: phases and deadlines are shortened and rates raised
// by the factor.
func (m Mix) Scaled(factor float64) Mix {
	out := Mix{Name: m.Name, Classes: slices.Clone(m.Classes)}
	for i := range out.Classes {
		out.Classes[i].Deadline = divide(out.Classes[i].Deadline, factor)
	}
	for _, p := range m.Phases {
		rates := make(map[string]float64, len(p.Rates))
		for class, rate := range p.Rates {
			rates[class] = rate * factor
		}
		out.Phases = append(out.Phases, Phase{Name: p.Name, Length: divide(p.Length, factor), Rates: rates})
	}
	return out
}

func divide(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) / factor)
}

// Arrival is one request drawn from a mix.
type Arrival struct {
	// At is the time of sending, relative to the start of the run.
	At    time.Duration
	Class string
	// Seed determines the request's text, its key and its organisation.
	Seed     uint64
	Prompt   int
	Output   int
	Streamed bool
	// Caller is the number of the caller that sends it.
	Caller int
}

// Arrivals draws the requests of a mix: a Poisson process for each class, at the rate of the
// phase. The same seed yields the same requests.
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

// writeArrivals writes a mix to a CSV file for later inspection.
func writeArrivals(path string, arrivals []Arrival) error {
	header := []string{"at_ms", "class", "seed", "prompt", "output", "streamed", "caller"}
	return writeCSV(path, header, len(arrivals), func(i int) []string {
		a := arrivals[i]
		return []string{millis(a.At), a.Class, strconv.FormatUint(a.Seed, 10), strconv.Itoa(a.Prompt),
			strconv.Itoa(a.Output), strconv.FormatBool(a.Streamed), strconv.Itoa(a.Caller)}
	})
}
