// Package infra defines the interfaces to the platform's services: the
// append-only log, the instance list and the weight store. Their clients are in
// other packages.
package infra

import (
	"context"
	"fmt"
	"log/slog"
	"time"
)

// Offset is the position of a record in the log. Offsets start at 1 and grow by
// one with each record; 0 means "before the first record".
//
// A log that is restored from an older copy begins a new era and assigns its
// indices again. The era is in the upper bits, so that all offsets of a later era
// are greater than those of an earlier one, whatever was lost.
type Offset uint64

// eraShift allows for a trillion records in an era.
const eraShift = 40

// NewOffset returns the offset with an index in an era.
func NewOffset(era, index uint64) Offset { return Offset(era<<eraShift | index) }

// Era returns the era; 0 for a log that was never restored.
func (o Offset) Era() uint64 { return uint64(o) >> eraShift }

// Index returns the index within the era.
func (o Offset) Index() uint64 { return uint64(o) & (1<<eraShift - 1) }

// String returns the era and the index, for logs.
func (o Offset) String() string { return fmt.Sprintf("%d/%d", o.Era(), o.Index()) }

// LogValue implements slog.LogValuer.
func (o Offset) LogValue() slog.Value { return slog.StringValue(o.String()) }

// Record is one entry of the log.
type Record struct {
	Offset Offset
	// At is the log service's wall clock when it accepted the record.
	At   time.Time
	Data []byte
}

// ReadResult is the result of a read.
type ReadResult struct {
	Records []Record
	// Oldest is the oldest retained offset.
	Oldest Offset
	// Next is the offset that the next append will get.
	Next Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record and returns its offset. An error that matches
	// ErrNotWritten means that the record is not in the log and never will be.
	// After any other error the record may be there, or may still arrive.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to max records starting at offset from, and waits up to
	// wait for the first of them. It returns a *TrimmedError if from is before
	// the oldest retained record, and ErrUnavailable if the log is unavailable.
	Read(ctx context.Context, from Offset, max int, wait time.Duration) (ReadResult, error)
}

// InstanceKind is the kind of process that runs on an instance.
type InstanceKind string

// The kinds of instance in the platform's instance list.
const (
	KindEntry   InstanceKind = "entry"
	KindEngine  InstanceKind = "engine"
	KindService InstanceKind = "service"
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	Name       string       `json:"name"`
	Kind       InstanceKind `json:"kind"`
	DataCentre string       `json:"data_centre"`
	// Terminating is set once the platform has begun to remove the instance.
	Terminating bool `json:"leaving"`
}

// InstanceList is the platform's instance list, which lags by seconds. An
// instance that was removed from the list no longer runs.
type InstanceList interface {
	// Instances returns the current list.
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore is the platform's store of model weights. All loads from it share
// one rate limit, in bytes per second.
type WeightStore interface {
	// Versions returns the stored versions of a model, oldest first.
	Versions(ctx context.Context, model string) ([]WeightVersion, error)
}

// WeightVersion is one stored version of a model's weights.
type WeightVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}
