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
	// Question is that of the request to which this is the last reply, 0 for others.
	Question uint64
}

// Kind implements Message.
func (StreamVersions) Kind() Kind { return KindStreamVersions }

// StreamVersionRequest asks for the versions at which streams of a pool began. The replies name those that the
// recipient knows; the last one has the question's number.
type StreamVersionRequest struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	Streams  []uint64
	// Question identifies the request in the replies.
	Question uint64
}

// Kind implements Message.
func (StreamVersionRequest) Kind() Kind { return KindStreamVersionRequest }
