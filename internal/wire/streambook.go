package wire

import "time"

// StreamBookRequest asks a daemon for all streams that it knows of pools whose upstreams have several software
// versions, page by page.
type StreamBookRequest struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// After is the last stream of the page before, 0 for the first page.
	After uint64
}

// StreamBook is a page of the streams that a daemon knows, in the order of their hashes.
type StreamBook struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Groups   []StreamGroup
	// Last is the last stream of the page; More says that others follow.
	Last uint64
	More bool
}

// StreamGroup holds streams of one pool that began at one version.
type StreamGroup struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack      struct{} `msgpack:",as_array"`
	Pool, Version string
	// Streams are hashes of the IDs of the requests that began them, Ages the times since then, or since they were last
	// taken up.
	Streams []uint64
	Ages    []time.Duration
}

// Kind implements Message.
func (StreamBookRequest) Kind() Kind { return KindStreamBookRequest }

// Kind implements Message.
func (StreamBook) Kind() Kind { return KindStreamBook }
