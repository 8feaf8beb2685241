package wire

import (
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

// MemberAddress is where a daemon is reached.
type MemberAddress struct {
	Instance   string `msgpack:"n" json:"instance"`
	DataCentre string `msgpack:"d" json:"data_centre"`
	// Callers and Peers are IP:PORT.
	Callers string `msgpack:"c" json:"callers"`
	Peers   string `msgpack:"p" json:"peers"`
	// Capacity ranks daemons by what they can do for the others beside their own
	// requests.
	Capacity int `msgpack:"z" json:"capacity"`
}

// MemberState is what a daemon tells the others of itself, several times a
// second while requests come and go.
type MemberState struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	MemberAddress
	// Incarnation tells the starts of a daemon apart; Seq counts the states of
	// one. A state that was overtaken by a newer one is dropped.
	Incarnation uint64
	Seq         uint64
	// Serving says that callers may be sent there.
	Serving bool
	// Config is the version of the configuration in force there.
	Config uint64
	// ListPosition is the place in the store up to which its list of upstreams
	// goes, ListDigest tells whether two lists are the same, and ReadAge is the
	// time since the list was read, by it or by a daemon that it heard.
	ListPosition uint64
	ListDigest   uint64
	ListAge      time.Duration
	// ListSize is the number of upstreams in that list.
	ListSize int
	// Meshed says that it tells all others its work itself; if not, it comes with the
	// totals of the site.
	FullMesh bool
	// Loads are what has changed of its work at upstreams, Reads the prompts read
	// lately for it.
	Loads    UpstreamLoads
	Prefills PrefillEvents
	// Learnt is what it has observed of the engines, by pool; now and then.
	Observations map[string]enginemodel.Observations
	// Demands is what callers ask of it, by pool.
	Demands map[string]MemberDemand
	// Away are engines that have been ordered to change.
	Unavailable []UnavailableEngine
	// Known are other daemons that it hears from.
	KnownPeers []MemberAddress
}

// MemberLoads is what has changed of a daemon's work since its last state, told
// many times between two. It says nothing else, so that it stays small.
type MemberLoads struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Incarnation and Seq are as in a MemberState, and tell whose it is.
	Incarnation, Seq uint64
	Loads            UpstreamLoads
	Prefills         PrefillEvents
}

// Kind implements Message.
func (MemberLoads) Kind() Kind { return KindMemberLoads }

// MemberDemand is what callers ask of one pool at one daemon, a second.
type MemberDemand struct {
	// Readers are the engines that the prompts keep busy.
	PrefillEngines float64 `msgpack:"t"`
}

// Plus returns the sum of what two daemons are asked.
func (d MemberDemand) Add(o MemberDemand) MemberDemand {
	return MemberDemand{PrefillEngines: d.PrefillEngines + o.PrefillEngines}
}

// AwayEngine is an engine that takes no work for a while.
type UnavailableEngine struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Engine   placement.Key
	// To is the role that it changes to, empty if it doesn't.
	TargetRole upstream.Role
	Remaining  time.Duration
}

// Kind implements Message.
func (MemberState) Kind() Kind { return KindMemberState }

// ViewRequest asks a peer for what it has read from the store, by a daemon that
// can't reach the store itself.
type ViewRequest struct {
	// ConfigOnly leaves the list of upstreams out.
	ConfigOnly bool `msgpack:"c,omitempty"`
}

// Kind implements Message.
func (ViewRequest) Kind() Kind { return KindViewRequest }

// ViewReply is the answer: documents as the store holds them.
type ViewReply struct {
	// Config is nil if the peer knows none.
	Config []byte `msgpack:"c"`
	// Upstreams are the entries by ID, Position the place in the store up to
	// which they go, Age the time since they were read.
	Upstreams map[string][]byte `msgpack:"u"`
	Position  uint64            `msgpack:"o"`
	Age       time.Duration     `msgpack:"a"`
}

// Kind implements Message.
func (ViewReply) Kind() Kind { return KindViewReply }

// LoadReport tells a collector of loads what a daemon has in flight, and those that
// report to it.
type LoadReport struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Peers is the sender's address.
	PeerAddress string
	// Full says that upstreams that aren't listed have nothing in flight.
	Full  bool
	Loads UpstreamLoads
	// Daemons is how many it is of, Depth how many of them stand below each other.
	Daemons int
	Depth   int
	// Away is news of engines that take no work, Reads of prompts that were read.
	Unavailable []UnavailableEngine
	Prefills    PrefillEvents
	// Unanswered says that the sender doesn't need the totals now.
	NoReply bool
	// Demands is what callers ask of these daemons, by pool; in full reports only.
	Demands map[string]MemberDemand
}

// HasNews reports whether the report says anything that its receiver may not know.
func (m LoadReport) HasUpdates() bool {
	return len(m.Loads)+len(m.Unavailable)+len(m.Prefills) > 0
}

// Kind implements Message.
func (LoadReport) Kind() Kind { return KindLoadReport }

// LoadTotals is what all daemons but the receiver have in flight, as the
// collector knows it.
type LoadTotals struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Full says that upstreams that aren't listed have nothing in flight.
	Full  bool
	Loads UpstreamLoads
	// Senders is the number of daemons in it.
	Daemons int
	// Away is news of engines that take no work, Reads of prompts that were read.
	Unavailable []UnavailableEngine
	Prefills    PrefillEvents
	// Config, ListPosition, ListDigest, ListSize and ReadAge are the collector's,
	// as in a MemberState: it reads the store for all.
	Config       uint64
	ListPosition uint64
	ListDigest   uint64
	ListSize     int
	ListAge      time.Duration
}

// Kind implements Message.
func (LoadTotals) Kind() Kind { return KindLoadTotals }

// BeliefsRequest asks a peer for what it has learnt of the engines.
type SnapshotRequest struct {
	// Of are the engines of which the sender doesn't know what they keep.
	Engines []placement.Key `msgpack:"o"`
}

// Kind implements Message.
func (SnapshotRequest) Kind() Kind { return KindSnapshotRequest }

// BeliefsReply is the answer.
type SnapshotReply struct {
	Snapshot placement.Snapshot `msgpack:"b"`
}

// Kind implements Message.
func (SnapshotReply) Kind() Kind { return KindSnapshotReply }
