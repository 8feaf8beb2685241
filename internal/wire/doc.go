// Package wire carries typed messages between the system's own processes: TCP,
// frames with a length before them, msgpack bodies. Both ends prove on connect
// that they know the shared peer secret, and each frame after that carries a
// code under a key of its own connection. TLS goes underneath by settings.
package wire
