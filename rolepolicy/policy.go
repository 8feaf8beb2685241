// Package rolepolicy decides which engines change their role (prefill, decode
// or mixed) as the mix of prompt and output tokens shifts.
//
// A policy maps a snapshot of the fleet and the time to decisions. It keeps the
// history of demand that it needs, but does no I/O, starts no goroutine and reads
// no clock. Each data centre's leader has its own policy value, which decides only
// about that data centre's engines.
package rolepolicy

import (
	"time"

	"tamarackchute/upstream"
)

// Policy decides on role changes. Decide is called about once a second, by one
// goroutine at a time; an empty result means no changes.
type Policy interface {
	Decide(s State, now time.Time) []Decision
}

// State is the snapshot of the fleet on which one decision is based.
type State struct {
	// DataCentre is the one whose engines may be changed.
	DataCentre string
	// Engines are the known engines of all data centres, those of other data
	// centres from summaries. Engines that no longer exist are omitted.
	Engines []Engine
	// Demand is the demand measured by the entries of all data centres: one value
	// for each entry and model.
	Demand []Demand
}

// Engine is the known state of one engine.
type Engine struct {
	Name       string
	DataCentre string
	Role       upstream.Role
	// Models are the models that the engine serves.
	Models []string
	// InService is false while the engine takes no work: it is down, draining
	// for another reason than a role change, or shutting down.
	InService bool
	// Changing is true from the decision until the change is done or undone.
	Changing bool
	// To is the role being changed to, if Changing.
	To upstream.Role
	// LastChange is when the last change ended; zero if none is known.
	LastChange time.Time
	// ReportAge is the age of the engine's last load report, including the lag
	// of its contents.
	ReportAge time.Duration
	// Reported are the rates that the engine reports for its present role; zero
	// if it hasn't reported any.
	Reported Rates
	// Running, Waiting and QueuedPrompt (tokens) are the reported load.
	Running, Waiting, QueuedPrompt int
	// MaxBatch is the maximum number of sequences that the engine decodes
	// concurrently; 0 if not known.
	MaxBatch int
}

// Rates are an engine's processing rates, in tokens a second.
type Rates struct {
	Prefill float64
	Decode  float64
}

// Demand is the demand for one model at one entry, refused requests included.
type Demand struct {
	Entry string
	Model string
	// At is the time of the measurement.
	At time.Time
	// PromptPerSec and OutputPerSec are tokens a second, with the output as
	// requested or estimated; RequestsPerSec is requests a second.
	PromptPerSec   float64
	OutputPerSec   float64
	RequestsPerSec float64
	// Queued is the number of requests queued in the entry.
	Queued int
}

// Decision is one role change to carry out.
type Decision struct {
	Engine string
	From   upstream.Role
	To     upstream.Role
	// Reason explains the decision to operators, with the measurements.
	Reason string
	// Gain is the expected gain and Cost the expected, weighted loss, both in
	// requests completed within the deadline.
	Gain float64
	Cost float64
}
