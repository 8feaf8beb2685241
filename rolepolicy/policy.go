// Package rolepolicy decides which engines change their role (prefill, decode
// or mixed) as the mix of prompt and output tokens shifts.
//
// A policy is pure: it gets a picture of the fleet and the time, and answers
// with decisions. It keeps the history of demand that it needs, but does no
// I/O, starts no goroutine and reads no clock. One policy value belongs to one
// data centre's leader; only that data centre's engines are in its decisions.
package rolepolicy

import (
	"time"

	"tamarackchute/upstream"
)

// Policy decides on role changes. Decide is called every second or so, by one
// goroutine at a time; an empty answer means that all engines stay as they are.
type Policy interface {
	Decide(s State, now time.Time) []Decision
}

// State is the picture on which one decision rests.
type State struct {
	// DataCentre is the one whose engines the decisions may name.
	DataCentre string
	// Engines are the engines of all data centres that are known, the others'
	// from their summaries. Engines that are gone are left out.
	Engines []Engine
	// Demand is what the entries of all data centres saw: one value per entry
	// and model.
	Demand []Demand
}

// Engine is what is known about one engine.
type Engine struct {
	Name       string
	DataCentre string
	Role       upstream.Role
	// Models are the models that the engine serves.
	Models []string
	// InService is false while the engine takes no work: it is down, draining
	// for another reason than a role change, or leaving.
	InService bool
	// Changing is true from the decision until the change is done or undone.
	Changing bool
	// To is the role being changed to, if Changing.
	To upstream.Role
	// LastChange is when the last change ended; zero if none is known.
	LastChange time.Time
	// ReportAge is how old the engine's last load report is, its own lag
	// included.
	ReportAge time.Duration
	// Reported are the rates that the engine reports for its present role;
	// zero if it has not reported.
	Reported Rates
	// Running, Waiting and QueuedPrompt (tokens) are the reported load.
	Running, Waiting, QueuedPrompt int
	// MaxBatch is the most sequences that the engine decodes at once; 0 if
	// not known.
	MaxBatch int
}

// Rates is how fast an engine works, in tokens a second.
type Rates struct {
	Prefill float64
	Decode  float64
}

// Demand is what one entry saw of one model, refused requests included.
type Demand struct {
	Entry string
	Model string
	// At is when the entry measured.
	At time.Time
	// PromptPerSec and OutputPerSec are tokens a second, output as asked for
	// or estimated; RequestsPerSec is requests a second.
	PromptPerSec   float64
	OutputPerSec   float64
	RequestsPerSec float64
	// Queued is how many requests wait in the entry.
	Queued int
}

// Decision is one role change that should be carried out.
type Decision struct {
	Engine string
	From   upstream.Role
	To     upstream.Role
	// Reason tells an operator why, with the figures.
	Reason string
	// Gain is the expected win and Cost the expected loss including the
	// change's weight, both in requests answered in time.
	Gain float64
	Cost float64
}
