package machine

// Shares are the parts of a process's limits that callers may take with their requests and the responses to them.
type Shares struct {
	// Connections is the number of open connections; 0 means no limit.
	Connections int
	// Heads is what heads of requests hold, in bytes.
	Heads int64
	// SmallBodies is what the bodies of requests hold up to bodylimit.FreeBytes each, LargeBodies what they hold beyond
	// that, in bytes. SmallResponses and LargeResponses are the same of responses.
	SmallBodies, LargeBodies       int64
	SmallResponses, LargeResponses int64
}

const (
	connectionShare    = 0.4
	headShare          = 1.0 / 16
	smallBodyShare     = 1.0 / 12
	largeBodyShare     = 1.0 / 8
	smallResponseShare = 1.0 / 16
	largeResponseShare = 1.0 / 8
	// idleShare is the part of the memory for connections by themselves, of connectionBytes each.
	idleShare       = 1.0 / 10
	connectionBytes = 16 << 10
	// reservedDescriptors are those for files.
	reservedDescriptors = 200

	// The largest shares, whatever the machine has, in bytes.
	maxHeads          = 64 << 20
	maxBodies         = 64 << 20
	maxSmallResponses = 64 << 20
	maxLargeResponses = 32 << 20
)

// SharesOf returns the shares of a process that may use some memory, in bytes, and a number of descriptors. Either is 0
// if it isn't known.
func SharesOf(memory int64, descriptors int) Shares {
	s := Shares{
		Heads:          share(memory, headShare, maxHeads),
		SmallBodies:    share(memory, smallBodyShare, maxBodies),
		LargeBodies:    share(memory, largeBodyShare, maxBodies),
		SmallResponses: share(memory, smallResponseShare, maxSmallResponses),
		LargeResponses: share(memory, largeResponseShare, maxLargeResponses),
	}
	if descriptors > 0 {
		s.Connections = max(1, int(connectionShare*float64(descriptors-reservedDescriptors)))
	}
	if memory > 0 {
		byMemory := max(1, int(idleShare*float64(memory)/connectionBytes))
		if s.Connections == 0 || byMemory < s.Connections {
			s.Connections = byMemory
		}
	}
	return s
}

func share(memory int64, part float64, most int64) int64 {
	if memory <= 0 {
		return most
	}
	return min(most, int64(part*float64(memory)))
}
