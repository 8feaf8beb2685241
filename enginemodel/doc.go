// Package enginemodel predicts the durations of an engine's work: the prefill of a prompt,
// the handoff of a KV cache, and the interval between two events of a stream. All
// parameters are learned from observations of the engines of one pool; the initial
// assumptions are weak enough for one observation to override.
//
// The package is free of side effects: time and measurements are passed in.
package enginemodel
