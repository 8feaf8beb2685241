package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names an upstream between daemons, in fewer bytes than its ID.
type Key uint32

// KeyOf returns the key of one start of an upstream.
func KeyOf(id string, started time.Time) Key {
	if started.IsZero() {
		return Key(xxhash.Sum64String(id))
	}
	return Key(xxhash.Sum64String(id + "@" + strconv.FormatInt(started.UnixMilli(), 10)))
}

// Load is a daemon's work at one upstream.
type Load struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Running counts requests in flight, Long those of them that generate for
	// long, Held the KV memory that they take, in tokens. Behind counts those of them
	// whose prompts are read for a late answer, and weren't read yet.
	Running, LongStreams, ReservedKVTokens, LatePrefills int
	// Sent sums up the reading ever sent there, in microseconds that it takes an
	// engine of that role, Done that which is over. The difference between two states
	// is what was added, also if states in between are lost; that between the two sums
	// is what the engine still has to read.
	PrefillSent, PrefillDone uint32
	// Moved sums up the tokens whose KV caches were ever fetched there.
	TransferredTokens uint32
	// EventTime sums up the times between events of streams there while it read nothing,
	// ExpectedEventTime what these take engines of its pool on average, in units of 10
	// microseconds; the older ones count less. Their ratio says how much slower than the
	// others it generates.
	EventTime, ExpectedEventTime uint32
}

// Plus returns the sum of two daemons' loads.
func (l Load) Plus(o Load) Load {
	return Load{
		Running: l.Running + o.Running, LongStreams: l.LongStreams + o.LongStreams, ReservedKVTokens: l.ReservedKVTokens + o.ReservedKVTokens, LatePrefills: l.LatePrefills + o.LatePrefills,
		PrefillSent: l.PrefillSent + o.PrefillSent, PrefillDone: l.PrefillDone + o.PrefillDone, TransferredTokens: l.TransferredTokens + o.TransferredTokens,
		EventTime: l.EventTime + o.EventTime, ExpectedEventTime: l.ExpectedEventTime + o.ExpectedEventTime,
	}
}

// Minus takes a load back that Plus has added.
func (l Load) Minus(o Load) Load {
	return Load{
		Running: l.Running - o.Running, LongStreams: l.LongStreams - o.LongStreams, ReservedKVTokens: l.ReservedKVTokens - o.ReservedKVTokens, LatePrefills: l.LatePrefills - o.LatePrefills,
		PrefillSent: l.PrefillSent - o.PrefillSent, PrefillDone: l.PrefillDone - o.PrefillDone, TransferredTokens: l.TransferredTokens - o.TransferredTokens,
		EventTime: l.EventTime - o.EventTime, ExpectedEventTime: l.ExpectedEventTime - o.ExpectedEventTime,
	}
}

const (
	// eventTimePerMilli is the number of units of EventTime in a millisecond. The sums of a few
	// thousand daemons fit in 32 bits.
	eventTimePerMilli = 100
	// paceMemory is the time between events over which a daemon forgets what it saw at an
	// engine: about one long answer. paceDoubt is the time for which an engine is taken
	// to be like the others beside what was seen there.
	paceMemory = 10_000 * eventTimePerMilli
	paceDoubt  = 1000.0 * eventTimePerMilli
	// mostPace bounds what one event may say, in times what was expected: a lost packet
	// or a stalled daemon makes single ones come late.
	mostPace = 4.0
)

// noteEventTime takes a time between two events and what was expected of it, in milliseconds.
func (l *Load) noteEventTime(took, expected float64) {
	l.EventTime += uint32(math.Round(eventTimePerMilli * min(took, mostPace*expected)))
	l.ExpectedEventTime += uint32(math.Round(eventTimePerMilli * expected))
	if l.ExpectedEventTime > paceMemory {
		l.EventTime /= 2
		l.ExpectedEventTime /= 2
	}
}

// paceFactor is how many times as long as at the others an event takes there.
func (l Load) paceFactor() float64 {
	return (float64(l.EventTime) + paceDoubt) / (float64(l.ExpectedEventTime) + paceDoubt)
}

// LoadAt is a load with the upstream's key.
type UpstreamLoad struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Upstream Key
	Load     Load
}

// Read says what became of the shared parts of a prompt at an engine.
type PrefillEvent struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Engine   Key
	State    PrefillState
	// Last is the last shared part, with the tokens of all up to it; those before it
	// are kept as well.
	LastShared Part
	// Own is the number of tokens of the prompt's own part, which take memory too.
	UnsharedTokens int
}

// ReadState says how far the reading of a prompt is.
type PrefillState uint8

// The states.
const (
	// Begun: it is being read, or waits for it.
	PrefillStarted PrefillState = iota
	// Finished: the engine keeps it.
	PrefillFinished
	// Abandoned: it won't be read.
	PrefillAbandoned
)
