package wire

// QuarantineReport passes on an entry of the journal of quarantined requests before the recipient
// may have read it there.
type QuarantineReport struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// ID, Writer and Body are those of the entry.
	ID, Writer string
	Body       []byte
	// Direct means that the report is for the recipient only, not to be passed on.
	Direct bool
}

// Kind implements Message.
func (QuarantineReport) Kind() Kind { return KindQuarantineReport }
