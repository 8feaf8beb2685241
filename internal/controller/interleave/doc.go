// Package interleave plays random interleavings of controllers, entries,
// engines and the log in virtual time, with faults at every step, and checks
// the engines' side of the lease and of the orders. The decisions are the real
// ones, of packages lease and orders; the goroutines, the network and the
// clocks around them are played.
package interleave
