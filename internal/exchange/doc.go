// Package exchange carries out single HTTP/1.1 exchanges with upstreams: one
// request on one connection, sent once and never again by itself.
//
// The standard clients send a request anew when a kept connection breaks, which
// would run a non-idempotent request twice, and hide whether it was sent at all.
// Here every end of an exchange tells what is known: nothing was sent, the
// upstream says that it did not run, or it may have run. The wire format is the
// standard library's.
package exchange
