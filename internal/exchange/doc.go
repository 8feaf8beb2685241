// Package exchange is an HTTP/1.1 client for single exchanges with upstreams: one request
// on one connection, never retried by the client itself.
//
// net/http's client retries a request when a reused connection breaks, which could run a
// non-idempotent request twice, and hides whether the request was sent at all. Here
// every error says whether nothing was sent or the request may have run. The wire format
// is that of the standard library.
//
// A response is matched to its request by what identifies it, never by its place on a kept
// connection: upstreams may answer twice or late.
package exchange
