// Package upstreamlimit keeps the limits that upstreams name in their responses: the requests a
// second that an upstream takes from all processes together, for as long as it says so.
//
// Each process hears an upstream's statements in its own responses and from other processes. Book
// holds the latest ones. The limit is divided among a few processes, its holders, chosen by
// rendezvous hashing; all others send nothing to the upstream. Limiter grants the requests of one
// process.
package upstreamlimit
