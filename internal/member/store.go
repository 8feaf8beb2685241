package member

import (
	"context"
	"errors"
	"time"

	"tamarackchute/infra"
	"tamarackchute/internal/fleet"
)

// Topic is a set of keyed records in the store.
type Topic uint8

// The topics.
const (
	// TopicConfig holds the operators' configuration.
	TopicConfig Topic = iota
	// TopicUpstreams holds an entry for each upstream.
	TopicUpstreams
	// TopicMembers holds an entry for each daemon.
	TopicMembers
	// TopicObservations holds the observed engine timings of each pool.
	TopicObservations
	// TopicVersions holds the claims on the software versions of pools.
	TopicVersions
	// TopicStreams holds the software versions at which streams of pools with several began.
	TopicStreams
)

// Entry is the newest record of a key. A nil value means that the key was removed.
type Entry struct {
	Key   string
	Value []byte
}

// Position is a position in a topic. A store restored from an older copy starts a new era, whose
// positions come after all of the previous era.
type Position = infra.Offset

// ErrExpired means that the records after a position have been deleted.
var ErrExpired = errors.New("store: records have expired")

// Store is the platform's store.
type Store interface {
	// Newest returns the newest entry of each key and the position from which Changes continues. It
	// may take many calls, each of which ends after CallTimeout without progress: on a slow store a long
	// list takes its time, but a store that doesn't answer is noticed.
	Newest(ctx context.Context, t Topic) ([]Entry, Position, error)
	// Changes returns the entries written from a position on, in order, and the position after
	// them. It waits up to the given time for one. ErrExpired means that Newest is needed: the
	// records have expired, or the store has started a new era. What is received is reported to the
	// context's transfer.Transfer.
	Changes(ctx context.Context, t Topic, from Position, wait time.Duration) ([]Entry, Position, error)
	// Put writes an entry; a nil value removes the key.
	Put(ctx context.Context, t Topic, e Entry) error
	// Eras returns the tracker of the store's era.
	Eras() *EraTracker
}

// Decoder decodes what the store holds.
type Decoder interface {
	// Config decodes an entry of TopicConfig; ok is false if the key holds no configuration.
	Config(e Entry) (c *fleet.Config, ok bool, err error)
	// ConfigDocument decodes a configuration document as stored.
	ConfigDocument(document []byte) (*fleet.Config, error)
	// Upstream decodes an entry of TopicUpstreams.
	Upstream(e Entry) (*fleet.Upstream, error)
}
