// Package infra holds the small interfaces behind which the platform's
// services stand: the append-only log, the list of instances and the weight
// store. Adapters for a concrete wire form live elsewhere.
package infra

import (
	"context"
	"fmt"
	"log/slog"
	"time"
)

// Offset is the place of a record in the log. Offsets start at 1 and grow by
// one with each record; 0 means "before the first record".
//
// A log that comes back from an older copy begins a new era, in which it gives
// offsets of its own out again. The era stands in the upper bits, so that places
// of a later era come after all of an earlier one, whatever was lost.
type Offset uint64

// eraShift leaves a trillion records to an era.
const eraShift = 40

// OffsetIn returns the place with an index in an era.
func NewOffset(era, index uint64) Offset { return Offset(era<<eraShift | index) }

// Era returns the era of the place; 0 of a log that never came back.
func (o Offset) Era() uint64 { return uint64(o) >> eraShift }

// Index returns the place within its era.
func (o Offset) Index() uint64 { return uint64(o) & (1<<eraShift - 1) }

// String names the place and its era, for logs.
func (o Offset) String() string { return fmt.Sprintf("%d/%d", o.Era(), o.Index()) }

// LogValue implements slog.LogValuer.
func (o Offset) LogValue() slog.Value { return slog.StringValue(o.String()) }

// Record is one entry of the log.
type Record struct {
	Offset Offset
	// At is the log service's own wall clock when it took the record.
	At   time.Time
	Data []byte
}

// ReadResult is one answer to a read.
type ReadResult struct {
	Records []Record
	// Oldest is the first offset still retained.
	Oldest Offset
	// Next is the offset that the next append will get.
	Next Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record and returns its offset. An error that matches
	// ErrNotWritten means that the record is not in the log and never will
	// be. Any other error leaves that open: the record may be there, or may
	// still arrive.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to max records from the offset on, and waits up to wait
	// for the first of them. It returns a *TrimmedError if from lies before
	// the oldest retained record, and ErrUnavailable if the log can't answer.
	Read(ctx context.Context, from Offset, max int, wait time.Duration) (ReadResult, error)
}

// InstanceKind says what runs on an instance.
type InstanceKind string

// The kinds of instance in the platform's list.
const (
	KindEntry   InstanceKind = "entry"
	KindEngine  InstanceKind = "engine"
	KindService InstanceKind = "service"
)

// Instance is one row of the platform's list.
type Instance struct {
	Name       string       `json:"name"`
	Kind       InstanceKind `json:"kind"`
	DataCentre string       `json:"data_centre"`
	// Leaving is set once the platform has begun to take the instance away.
	Terminating bool `json:"leaving"`
}

// InstanceList is the platform's list of instances. It lags behind the truth
// by seconds. An instance that has left the list doesn't run any more.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore is the platform's store of model weights. Loads from it share
// one rate limit, counted in bytes a second.
type WeightStore interface {
	// Versions names the versions kept for a model, oldest first.
	Versions(ctx context.Context, model string) ([]WeightVersion, error)
}

// WeightVersion is one stored version of a model's weights.
type WeightVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}
