// Package interleave simulates random interleavings of controllers, entries, engines and
// the log in virtual time, with faults at every step, and checks the lease and order
// invariants at the engines. Decisions are made by the production code in packages lease
// and orders; goroutines, network and clocks are simulated.
package interleave
