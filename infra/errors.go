package infra

import (
	"errors"
	"fmt"
)

// ErrNotWritten matches each append error after which the record is certainly
// not in the log and never will be.
var ErrNotWritten = errors.New("infra: record not written")

// ErrRateLimited says that the log refused an append because of its rate
// limit. It matches ErrNotWritten.
var ErrRateLimited = fmt.Errorf("log rate limit reached: %w", ErrNotWritten)

// ErrUnavailable says that a service of the platform gave no usable answer.
// For an append it leaves open whether the record was written.
var ErrUnavailable = errors.New("infra: service unavailable")

// TrimmedError says that a read began before the oldest retained record.
type TrimmedError struct {
	Oldest Offset
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("infra: records before offset %d have expired", e.Oldest)
}
