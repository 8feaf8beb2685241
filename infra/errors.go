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

// RestoredError says that the log has come back from an older copy since the place
// that a read began at: it may lack records that were read, and hold others in their
// places.
type RestoredError struct {
	// Oldest is the place of the oldest record in the new era.
	Oldest Offset
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("infra: the log was restored from an older copy; its oldest record is %v", e.Oldest)
}
