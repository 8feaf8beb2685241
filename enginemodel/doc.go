// Package enginemodel predicts the durations of an engine's work: prefill, KV handoff, and
// the interval between two events of a stream. The parameters are learned from observations
// of one pool's engines; the priors are weak enough for one observation to override. Time
// and measurements are passed in by the caller.
package enginemodel
