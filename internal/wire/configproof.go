package wire

import "time"

// ConfigProofRequest asks a peer how long ago it was known that no newer configuration existed.
type ConfigProofRequest struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// RequestedAt is when the request was sent, by a clock of the sender's machine.
	RequestedAt time.Duration
}

// Kind implements Message.
func (ConfigProofRequest) Kind() Kind { return KindConfigProofRequest }

// ConfigProofReply is the response to a ConfigProofRequest.
type ConfigProofReply struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// RequestedAt is that of the request.
	RequestedAt time.Duration
	// Known says that the peer has a proof: no configuration newer than Version existed an Age
	// before the reply.
	Known   bool
	Version uint64
	Age     time.Duration
	// Era is the store's era that the peer knows.
	Era uint64
	// Changing means that the peer is receiving a newer configuration from the store.
	Changing bool
}

// Kind implements Message.
func (ConfigProofReply) Kind() Kind { return KindConfigProofReply }
