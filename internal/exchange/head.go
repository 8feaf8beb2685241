package exchange

import (
	"fmt"
	"net"
)

// Limits of the heads of a response: what an upstream sends before its body.
const (
	// maxHeadBytes limits the head with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxHeaders limits the headers of one head, maxInterim the interim responses before it.
	maxHeaders = 256
	maxInterim = 16
)

var (
	errHeadTooLarge   = fmt.Errorf("%w: its head has more than %d bytes", ErrResponseTooLarge, maxHeadBytes)
	errTooManyHeaders = fmt.Errorf("%w: it has more than %d headers", ErrResponseTooLarge, maxHeaders)
	errTooManyInterim = fmt.Errorf("%w: more than %d interim responses precede it", ErrResponseTooLarge, maxInterim)
)

// limitedInput reads a connection, up to a limit while one is set.
type limitedInput struct {
	raw     net.Conn
	limited bool
	left    int
}

// limit allows n more bytes to be read, until unlimit is called. What is read ahead of a body counts.
func (i *limitedInput) limit(n int) { i.limited, i.left = true, n }

func (i *limitedInput) unlimit() { i.limited = false }

// Read implements io.Reader.
func (i *limitedInput) Read(b []byte) (int, error) {
	if !i.limited {
		return i.raw.Read(b)
	}
	if i.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := i.raw.Read(b[:min(len(b), i.left)])
	i.left -= n
	return n, err
}
