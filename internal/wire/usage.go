package wire

import "tamarackchute/usage"

// UsageRequest asks the daemon that adds up the counts for what has changed.
type UsageRequest struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Incarnation and Since are those of the last UsageReply; 0 for all counts.
	Incarnation, Since uint64
}

// Kind implements Message.
func (UsageRequest) Kind() Kind { return KindUsageRequest }

// UsageReply is the response to a UsageRequest.
type UsageReply struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Incarnation is that of the sender, Version the version of its counts.
	Incarnation, Version uint64
	Counts               []usage.Count
	// Recipient is the address to which the sender itself passes counts; empty if it adds up
	// those of all daemons.
	Recipient string
}

// Kind implements Message.
func (UsageReply) Kind() Kind { return KindUsageReply }

// UsageReport reports counts of requests to the daemon that adds them up.
type UsageReport struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Seq identifies the report among those of its sender's link.
	Seq    uint64
	Counts []usage.Count
}

// Kind implements Message.
func (UsageReport) Kind() Kind { return KindUsageReport }

// UsageAck confirms a UsageReport.
type UsageAck struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
}

// Kind implements Message.
func (UsageAck) Kind() Kind { return KindUsageAck }
