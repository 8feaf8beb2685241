// Package load sends recorded, seeded mixes of requests to a deployment and
// measures what the callers get. The load is open: each request goes out at its
// own time, whatever became of those before it, and its latency counts from
// that time, so that a stalled system can't hide its delay.
//
// Answers are checked whole against what the stand-ins are known to answer. The
// package also holds the experiments that compare role policies and routing.
package load
