// Package upstreamlimit keeps the requests a second that upstreams allow all processes together. Book
// holds what they named, in responses here and elsewhere. Limiter grants one process its share: a few
// processes, chosen by rendezvous hashing, divide the limit; all others send nothing.
package upstreamlimit
