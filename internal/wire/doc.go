// Package wire carries typed messages between the system's own processes, as
// length-prefixed frames with msgpack bodies over TCP, optionally with TLS. Both
// ends prove on connect that they know the shared peer secret; each later frame
// carries a MAC under a key of its connection.
package wire
