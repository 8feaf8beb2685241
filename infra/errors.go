package infra

import (
	"errors"
	"fmt"
)

// ErrNotWritten matches every append error after which the record is not in the
// log and never will be.
var ErrNotWritten = errors.New("infra: record not written")

// ErrRateLimited says that the log refused an append because of its rate limit.
// It matches ErrNotWritten.
var ErrRateLimited = fmt.Errorf("log rate limit reached: %w", ErrNotWritten)

// ErrUnavailable says that a platform service gave no usable response. After an
// append it is unknown whether the record was written.
var ErrUnavailable = errors.New("infra: service unavailable")

// TrimmedError says that a read started before the oldest retained record.
type TrimmedError struct {
	// Oldest is the offset of the oldest retained record.
	Oldest Offset
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("infra: records before offset %d have expired", e.Oldest)
}

// RestoredError says that the log was restored from an older copy, so that the
// offset of a read is of an earlier era. The log may lack records that were read
// before, and may hold others at their indices.
type RestoredError struct {
	// Oldest is the offset of the oldest record in the new era.
	Oldest Offset
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("infra: the log was restored from an older copy; its oldest record is %v", e.Oldest)
}
