package load

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
)

// The names of the classes that all presets have.
const (
	// ClassShort is short queries, for example about a field or a fault, which must be answered
	// quickly.
	ClassShort = "short"
	// ClassLong is requests with long prompts, for summaries or about bundles of specifications.
	ClassLong = "long"
	// ClassChat is a conversation.
	ClassChat      = "chat"
	ClassProtected = "protected"
	ClassLookup    = "lookup"
)

// Preset describes the requests that a deployment's callers send.
type Preset struct {
	Model   string
	Classes []Class
}

// PresetFor returns the preset of a deployment by its name. Any other name gets the first
// engine's model and the default paths.
func PresetFor(d *settings.Deployment) (Preset, error) {
	model := ""
	for _, u := range d.Upstreams {
		if u.Kind == settings.KindEngine && len(u.Models) > 0 {
			model = u.Models[0]
			break
		}
	}
	if model == "" {
		return Preset{}, eris.New("the deployment has no engine that serves a model")
	}
	if d.Name == "regnbrunnur" {
		return Preset{Model: model, Classes: classes("/check-ins", 15*time.Second, 90*time.Second)}, nil
	}
	return Preset{Model: model, Classes: classes("/bookings", 20*time.Second, 60*time.Second)}, nil
}

// classes returns the classes of request. A short query has a short prompt and half a page of
// output; a long one has a long prompt and little output: a grade with reasons. The deadlines are
// those of the deployments' own rules.
func classes(path string, short, long time.Duration) []Class {
	return []Class{
		{Name: ClassShort, Kind: KindCompletion, Prompt: Range{30, 150}, Output: Range{150, 350},
			StreamedShare: 0.7, Deadline: short},
		{Name: ClassChat, Kind: KindChat, Prompt: Range{100, 400}, Output: Range{150, 350},
			StreamedShare: 0.9, Deadline: short},
		{Name: ClassLong, Kind: KindCompletion, Prompt: Range{2000, 6000}, Output: Range{20, 80},
			StreamedShare: 0.5, Deadline: long},
		{Name: ClassProtected, Kind: KindProtected, Path: path, Deadline: 10 * time.Second, Prompt: Range{1, 1000}, Output: Range{1, 1}},
		{Name: ClassLookup, Kind: KindLookup, Path: path, Deadline: 5 * time.Second, Prompt: Range{1, 1}, Output: Range{1, 1}},
	}
}

// The names of the mixes.
const (
	MixShift  = "shift"
	MixSteady = "steady"
	MixSpring = "spring"
	// MixOverload demands what the fleet can serve, then twice that, then the former again.
	MixOverload = "overload"
	MixTry      = "try"
)

// Mixes lists the names that Preset.Mix accepts.
var Mixes = []string{MixShift, MixSteady, MixSpring, MixOverload}

// Speed is the rate of one engine at full efficiency, in tokens per second.
type Speed struct{ Prefill, Decode float64 }

// Mix returns the mix of the given name, sized for a fleet of engines of the given speed.
func (p Preset) Mix(name string, seed uint64, engines int, speed Speed) (Mix, error) {
	m := Mix{Name: name, Classes: p.Classes}
	rng := rand.New(rand.NewPCG(seed, 77)) // Arrivals draws from other streams, 1 and up
	switch name {
	case MixShift:
		m.Phases = p.shiftPhases(rng, engines, speed)
	case MixSteady:
		m.Phases = []Phase{p.phase("steady", 20*time.Minute, engines, speed, 0.15, 0.2)}
	case MixSpring:
		m.Phases = p.springPhases(rng, engines, speed)
	case MixOverload:
		m.Phases = []Phase{
			p.phase("full", 5*time.Minute, engines, speed, 0.25, 0.3),
			p.phase("double", 10*time.Minute, engines, speed, 0.5, 0.6),
			p.phase("after", 5*time.Minute, engines, speed, 0.25, 0.3),
		}
	default:
		return Mix{}, eris.Errorf("unknown mix %q", name)
	}
	return m, nil
}

// phase returns a phase whose demand is a share of the fleet's total capacity: long for long
// requests, short for short queries and chats together.
func (p Preset) phase(name string, length time.Duration, engines int, speed Speed, long, short float64) Phase {
	m := Mix{Classes: p.Classes}
	// share is the share of the fleet's capacity that one request per second of a class takes.
	share := func(class string) float64 {
		d := m.Demand(Phase{Rates: map[string]float64{class: 1}})
		return (d.PromptPerSec/speed.Prefill + d.OutputPerSec/speed.Decode) / float64(engines)
	}
	return Phase{Name: name, Length: length, Rates: map[string]float64{
		ClassLong:      long / share(ClassLong),
		ClassShort:     0.7 * short / share(ClassShort),
		ClassChat:      0.3 * short / share(ClassChat),
		ClassProtected: 1,
		ClassLookup:    0.5,
	}}
}

// shiftPhases alternates between long bundles and bursts of short queries for 20 minutes. Each
// phase takes 1 to 4 minutes and has a random height; some balanced phases are interspersed.
func (p Preset) shiftPhases(rng *rand.Rand, engines int, speed Speed) []Phase {
	const total = 20 * time.Minute
	var out []Phase
	bundles := true
	for at := time.Duration(0); at < total; {
		length := min(total-at, time.Duration(60+rng.IntN(180))*time.Second)
		high := 0.4 + 0.2*rng.Float64()
		low := 0.05 + 0.1*rng.Float64()
		switch {
		case rng.Float64() < 0.2:
			out = append(out, p.phase("balanced", length, engines, speed, 0.25, 0.3))
		case bundles:
			out = append(out, p.phase("bundles", length, engines, speed, high, low))
			bundles = false
		default:
			out = append(out, p.phase("queries", length, engines, speed, low, high))
			bundles = true
		}
		at += length
	}
	return out
}

// springPhases models a spring morning: a slow rise of short queries, a rush, and then the
// summaries.
func (p Preset) springPhases(rng *rand.Rand, engines int, speed Speed) []Phase {
	var out []Phase
	add := func(name string, seconds int, long, short float64) {
		jitter := 0.9 + 0.2*rng.Float64()
		out = append(out, p.phase(name, time.Duration(seconds)*time.Second, engines, speed, long, short*jitter))
	}
	add("dawn", 180, 0.15, 0.2)
	add("rise", 120, 0.15, 0.35)
	add("rise", 120, 0.1, 0.5)
	add("rush", 240, 0.05, 0.6)
	add("rise", 120, 0.2, 0.4)
	add("summaries", 240, 0.55, 0.1)
	add("noon", 180, 0.25, 0.25)
	return out
}

// TryMix returns a light load with requests of every class, for a first test of a deployment.
func (p Preset) TryMix(length time.Duration) Mix {
	return Mix{Name: MixTry, Classes: p.Classes, Phases: []Phase{{
		Name: "mixed", Length: length,
		Rates: map[string]float64{ClassShort: 12, ClassChat: 6, ClassLong: 2, ClassProtected: 15, ClassLookup: 8},
	}}}
}
