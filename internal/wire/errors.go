package wire

import (
	"errors"
	"fmt"
)

// The ways in which a peer is turned away.
var (
	// ErrNotAuthentic says that the peer can't prove the shared secret.
	ErrNotAuthenticated = errors.New("wire: peer doesn't prove the shared secret")
	// ErrVersion says that the peer speaks another version of the protocol.
	ErrVersion = errors.New("wire: peer speaks another protocol version")
	// ErrTampered says that a frame was altered, repeated or left out on the way.
	ErrTampered = errors.New("wire: frame isn't as its sender wrote it")
	// ErrMalformed says that a frame isn't built as the protocol has it.
	ErrMalformed = errors.New("wire: malformed frame")
)

// TooLargeError says that a frame is beyond the largest size taken. Nothing of
// it was read into memory.
type TooLargeError struct {
	Size, Max int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("wire: frame of %d bytes, %d are the most", e.Size, e.Max)
}
