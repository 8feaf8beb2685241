package wire

import (
	"errors"
	"fmt"
)

// Errors for which a peer is rejected.
var (
	// ErrNotAuthenticated means that the peer didn't prove the shared secret.
	ErrNotAuthenticated = errors.New("wire: peer failed to prove the shared secret")
	// ErrVersion means that the peer uses another version of the protocol.
	ErrVersion = errors.New("wire: protocol version mismatch")
	// ErrTampered means that a frame was altered, replayed or removed in transit.
	ErrTampered = errors.New("wire: frame failed authentication")
	// ErrMalformed means that a frame doesn't have the protocol's format.
	ErrMalformed = errors.New("wire: malformed frame")
)

// TooLargeError means that a frame exceeds the size limit. No part of its body was
// read into memory.
type TooLargeError struct {
	Size, Max int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("wire: frame of %d bytes exceeds the limit of %d", e.Size, e.Max)
}
