package wire

import "tamarackchute/usage"

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
