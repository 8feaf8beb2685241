package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an upstream in messages between daemons, in fewer bytes than its ID.
type Key uint32

// KeyOf returns the key of one start of an upstream.
func KeyOf(id string, started time.Time) Key {
	if started.IsZero() {
		return Key(xxhash.Sum64String(id))
	}
	return Key(xxhash.Sum64String(id + "@" + strconv.FormatInt(started.UnixMilli(), 10)))
}

// Load is a daemon's load at one upstream.
type Load struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Running counts the requests in flight and LongStreams the long streams among them.
	// ReservedKVTokens is the KV memory they reserve. LatePrefills counts the late requests
	// whose prefill is pending.
	Running, LongStreams, ReservedKVTokens, LatePrefills int
	// PrefillSent and PrefillDone sum up all prefill work ever sent and done, in
	// microseconds that it takes an average engine of the role. The difference between two
	// reports is the work added, even if reports in between were lost; PrefillSent -
	// PrefillDone is the pending work.
	PrefillSent, PrefillDone uint32
	// TransferredTokens sums up the tokens of all KV transfers to the upstream.
	TransferredTokens uint32
	// EventTime sums up the gaps between events of streams while the engine did no prefill,
	// ExpectedEventTime the pool's average for them, in units of 10 microseconds; both
	// decay. Their ratio is the engine's decode slowdown.
	EventTime, ExpectedEventTime uint32
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{
		Running: l.Running + o.Running, LongStreams: l.LongStreams + o.LongStreams, ReservedKVTokens: l.ReservedKVTokens + o.ReservedKVTokens, LatePrefills: l.LatePrefills + o.LatePrefills,
		PrefillSent: l.PrefillSent + o.PrefillSent, PrefillDone: l.PrefillDone + o.PrefillDone, TransferredTokens: l.TransferredTokens + o.TransferredTokens,
		EventTime: l.EventTime + o.EventTime, ExpectedEventTime: l.ExpectedEventTime + o.ExpectedEventTime,
	}
}

// Minus subtracts a load that Plus has added.
func (l Load) Minus(o Load) Load {
	return Load{
		Running: l.Running - o.Running, LongStreams: l.LongStreams - o.LongStreams, ReservedKVTokens: l.ReservedKVTokens - o.ReservedKVTokens, LatePrefills: l.LatePrefills - o.LatePrefills,
		PrefillSent: l.PrefillSent - o.PrefillSent, PrefillDone: l.PrefillDone - o.PrefillDone, TransferredTokens: l.TransferredTokens - o.TransferredTokens,
		EventTime: l.EventTime - o.EventTime, ExpectedEventTime: l.ExpectedEventTime - o.ExpectedEventTime,
	}
}

const (
	// eventTimePerMilli is the number of EventTime units in a millisecond. The sums of a
	// few thousand daemons fit in 32 bits.
	eventTimePerMilli = 100
	// eventTimeMemory is the sum at which older observations are halved: about one long
	// response. eventTimePrior is the weight of the assumption that an engine is like the
	// others.
	eventTimeMemory = 10_000 * eventTimePerMilli
	eventTimePrior  = 1000.0 * eventTimePerMilli
	// maxEventTimeRatio bounds a single gap relative to the expected one: a lost packet or
	// a stalled daemon delays single events.
	maxEventTimeRatio = 4.0
)

// recordEventTime adds an observed gap between events and the expected one, in
// milliseconds.
func (l *Load) recordEventTime(took, expected float64) {
	l.EventTime += uint32(math.Round(eventTimePerMilli * min(took, maxEventTimeRatio*expected)))
	l.ExpectedEventTime += uint32(math.Round(eventTimePerMilli * expected))
	if l.ExpectedEventTime > eventTimeMemory {
		l.EventTime /= 2
		l.ExpectedEventTime /= 2
	}
}

// decodeSlowdown is the time per event relative to the other engines of the pool.
func (l Load) decodeSlowdown() float64 {
	return (float64(l.EventTime) + eventTimePrior) / (float64(l.ExpectedEventTime) + eventTimePrior)
}

// UpstreamLoad is a load with the key of its upstream.
type UpstreamLoad struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Upstream Key
	Load     Load
}

// PrefillEvent reports a change in the prefill of a prompt's shared parts on an engine.
type PrefillEvent struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Engine   Key
	State    PrefillState
	// LastShared is the last shared part, with Tokens counting all parts up to it; those
	// before it are cached as well.
	LastShared Part
	// UnsharedTokens is the length of the prompt's unshared part, which takes cache memory
	// too.
	UnsharedTokens int
}

// PrefillState is the state of a prompt's prefill.
type PrefillState uint8

// The states of a prefill.
const (
	// PrefillStarted: the prefill is running or queued.
	PrefillStarted PrefillState = iota
	// PrefillFinished: the engine has the prompt cached.
	PrefillFinished
	// PrefillAbandoned: the prefill won't take place.
	PrefillAbandoned
)
