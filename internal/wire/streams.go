package wire

// StreamVersions tells at which software version streams of a pool began.
type StreamVersions struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	Version  string
	// Streams are hashes of the IDs of the requests that began them.
	Streams []uint64
	// Sole means that the sender knows of no other version that has served in the pool lately.
	Sole bool
	// Question is that of the request answered, 0 if the sender wasn't asked.
	Question uint64
}

// Kind implements Message.
func (StreamVersions) Kind() Kind { return KindStreamVersions }

// StreamVersionRequest asks for the version at which a stream began. The reply of a recipient that
// doesn't know it names none.
type StreamVersionRequest struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	Stream   uint64
	// Question identifies the request in the replies.
	Question uint64
}

// Kind implements Message.
func (StreamVersionRequest) Kind() Kind { return KindStreamVersionRequest }
