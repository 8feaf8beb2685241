// Package load draws a mix of requests from a seed, sends them to a deployment and measures the
// outcome for the callers. The load is open-loop: each request is sent at its scheduled
// time, regardless of the requests before it, and its latency counts from that time, so that a
// stalled system can't hide its delay.
//
// Every response is compared completely with the one that the stand-ins must give. The package
// also holds the experiments that compare role policies and routing.
package load
