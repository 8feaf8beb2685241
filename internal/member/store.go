package member

import (
	"context"
	"errors"
	"time"

	"tamarackchute/infra"
	"tamarackchute/internal/fleet"
)

// Topic names what the store keeps for the system.
type Topic uint8

// The topics.
const (
	// TopicConfig holds the operators' configuration.
	TopicConfig Topic = iota
	// TopicUpstreams holds an entry of each server.
	TopicUpstreams
	// TopicMembers holds an entry of each daemon of the system.
	TopicMembers
	// TopicLearnt holds what was learnt of the engines of each pool.
	TopicObservations
)

// Entry is the newest record of a key. A nil value says that the key is gone.
type Entry struct {
	Key   string
	Value []byte
}

// Position is a place in a topic. A store that comes back from an older copy begins a new
// era; its places come after all of the era before.
type Position = infra.Offset

// ErrExpired says that records after a position are no longer kept.
var ErrExpired = errors.New("store: records have expired")

// Store is the platform's store.
type Store interface {
	// Newest returns the newest entry of each key, and the position from which
	// to read on.
	Newest(ctx context.Context, t Topic) ([]Entry, Position, error)
	// Changes returns the entries written from a position on, in order, and the
	// position after them. It waits for one up to a time. ErrExpired means that
	// Newest is needed: the records have expired, or the store has begun a new era.
	Changes(ctx context.Context, t Topic, from Position, wait time.Duration) ([]Entry, Position, error)
	// Put writes an entry; a nil value removes the key.
	Put(ctx context.Context, t Topic, e Entry) error
	// Eras tells in which era the store is.
	Eras() *EraTracker
}

// Formats reads what the store holds.
type Decoder interface {
	// Config reads an entry of TopicConfig; ok is false for keys that are none.
	Config(e Entry) (c *fleet.Config, ok bool, err error)
	// ConfigDocument reads a configuration as the store holds it.
	ConfigDocument(document []byte) (*fleet.Config, error)
	// Upstream reads an entry of TopicUpstreams.
	Upstream(e Entry) (*fleet.Upstream, error)
}
