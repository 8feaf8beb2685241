package wire

import (
	"fmt"
	"net/netip"
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

// MemberAddress holds the addresses of a daemon.
type MemberAddress struct {
	Instance   string `msgpack:"n" json:"instance"`
	DataCentre string `msgpack:"d" json:"data_centre"`
	// Callers and Peers are the addresses, as IP:PORT, at which the daemon listens for
	// callers and for other daemons.
	Callers string `msgpack:"c" json:"callers"`
	Peers   string `msgpack:"p" json:"peers"`
	// Forwards is the address at which it listens for requests that other daemons forward.
	Forwards string `msgpack:"f" json:"forwards"`
	// Capacity ranks daemons by how much work they can do for the others in addition
	// to their requests.
	Capacity int `msgpack:"z" json:"capacity"`
}

// maxNameBytes limits the names of a daemon and its data centre.
const maxNameBytes = 255

// Validate returns an error for addresses that no daemon has.
func (a MemberAddress) Validate() error {
	if a.Instance == "" || len(a.Instance) > maxNameBytes || len(a.DataCentre) > maxNameBytes {
		return fmt.Errorf("names of %d and %d bytes", len(a.Instance), len(a.DataCentre))
	}
	for _, address := range []string{a.Callers, a.Peers, a.Forwards} {
		if _, err := netip.ParseAddrPort(address); err != nil && address != "" {
			return err
		}
	}
	return nil
}

// MemberState is the state that a daemon reports to the others, several times a
// second while it serves requests.
type MemberState struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	MemberAddress
	// Incarnation differs for each start of a daemon; Seq counts the states of one
	// incarnation. A state that arrives after a newer one is dropped.
	Incarnation uint64
	Seq         uint64
	// Serving means that the directory may name this daemon to callers.
	Serving bool
	// ConfigVersion is the version of the configuration in force at this daemon.
	ConfigVersion uint64
	// ListPosition is the store position of the daemon's list of upstreams and
	// ListDigest a digest of the list. ListAge is the time since the same list was last
	// read from the store, by this daemon or by one that has reported to it.
	ListPosition uint64
	ListDigest   uint64
	ListAge      time.Duration
	// ListSize is the number of upstreams in that list.
	ListSize int
	// FullMesh means that the daemon reports its loads to all others itself; otherwise
	// they are part of the site's totals.
	FullMesh bool
	// Loads are the daemon's loads on upstreams that have changed, Prefills the recent
	// prefills of its prompts.
	Loads    UpstreamLoads
	Prefills PrefillEvents
	// Observations are the daemon's observations of engines, by pool. Only some states
	// have them.
	Observations map[string]enginemodel.Observations
	// Demands is the demand of the daemon's callers, by pool.
	Demands map[string]MemberDemand
	// Unavailable are the engines that this daemon has reported as accepting no work, for
	// example because it ordered them to change their role.
	Unavailable []UnavailableEngine
	// KnownPeers are the daemons from which this one receives states.
	KnownPeers []MemberAddress
	// KeysStale means that the daemon can't use the API keys of its configuration now.
	KeysStale bool
	// LostPools are the pools to whose upstreams the daemon has lost its path, PathLost that it has
	// none to any upstream.
	LostPools []string
	PathLost  bool
	// Clock is the daemon's time of day, in Unix nanoseconds.
	Clock int64
	// Quarantine is the fingerprint of what the daemon knows of requests that crash upstreams.
	Quarantine uint64
	// ConfigBytes is the size of the daemon's configuration.
	ConfigBytes int
	// Overdue means that the daemon runs no requests by its configuration, as a newer one has been in
	// force elsewhere for long.
	Overdue bool
	// SentAt is when the state was written, by a clock of the sender that isn't set and doesn't stand
	// still; 0 if it isn't named. All ages and times in the state count from then.
	SentAt time.Duration
}

// MemberLoads reports the changes of a daemon's loads since its last state. It is sent
// many times between two states, and therefore kept small.
type MemberLoads struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Incarnation and Seq are as in MemberState. Incarnation identifies the sender.
	Incarnation, Seq uint64
	Loads            UpstreamLoads
	Prefills         PrefillEvents
}

// Kind implements Message.
func (MemberLoads) Kind() Kind { return KindMemberLoads }

// MemberDemand is the demand of one daemon's callers for one pool.
type MemberDemand struct {
	// PrefillEngines is the number of engines that the prompts keep busy.
	PrefillEngines float64 `msgpack:"t"`
	// DecodeEngines is the number of engines that the responses keep busy.
	DecodeEngines float64 `msgpack:"d"`
}

// Add returns the sum of two demands.
func (d MemberDemand) Add(o MemberDemand) MemberDemand {
	return MemberDemand{PrefillEngines: d.PrefillEngines + o.PrefillEngines, DecodeEngines: d.DecodeEngines + o.DecodeEngines}
}

// UnavailableEngine is an engine that accepts no work for some time.
type UnavailableEngine struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Engine   placement.Key
	// TargetRole is the role that the engine is changing to, empty if its role stays.
	TargetRole upstream.Role
	Remaining  time.Duration
}

// Kind implements Message.
func (MemberState) Kind() Kind { return KindMemberState }

// ViewRequest asks a peer for its copy of the store's content. It is sent by a daemon
// whose own copy is older, so that few daemons read the store and one that can't reach it
// gets new data.
type ViewRequest struct {
	// ConfigOnly asks for the configuration without the list of upstreams.
	ConfigOnly bool `msgpack:"c,omitempty"`
	// ListOnly asks for the list without the configuration.
	ListOnly bool `msgpack:"l,omitempty"`
	// ConfigVersion is the version that the sender has, 0 if it has none: it only needs a newer one.
	ConfigVersion uint64 `msgpack:"v,omitempty"`
}

// Kind implements Message.
func (ViewRequest) Kind() Kind { return KindViewRequest }

// ViewReply is the response to a ViewRequest, with documents as the store holds them.
type ViewReply struct {
	// Config is nil if the peer has none that is newer than the one of the request.
	Config []byte `msgpack:"c"`
	// Upstreams are the entries by ID, Position is their position in the store and Age
	// the time since they were read. Unconfirmed are those of upstreams that may be gone
	// and haven't written since.
	Upstreams   map[string][]byte `msgpack:"u"`
	Unconfirmed map[string][]byte `msgpack:"n"`
	Position    uint64            `msgpack:"o"`
	Age         time.Duration     `msgpack:"a"`
}

// Kind implements Message.
func (ViewReply) Kind() Kind { return KindViewReply }

// LoadReport reports to an aggregator what the sender, and the daemons that report to
// it, have in flight.
type LoadReport struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// PeerAddress is the address at which the sender listens for peers.
	PeerAddress string
	// Full means that upstreams that aren't listed have nothing in flight.
	Full  bool
	Loads UpstreamLoads
	// Daemons is the number of daemons that the report covers, Depth the depth of the
	// tree in which they report to each other.
	Daemons int
	Depth   int
	// Unavailable holds the engines that have newly been reported as accepting no work,
	// Prefills recent prefills.
	Unavailable []UnavailableEngine
	Prefills    PrefillEvents
	// NoReply means that the sender doesn't need the totals now.
	NoReply bool
	// Demands is the demand at these daemons, by pool. Only full reports have it.
	Demands map[string]MemberDemand
}

// HasUpdates reports whether the report contains any change.
func (m LoadReport) HasUpdates() bool {
	return len(m.Loads)+len(m.Unavailable)+len(m.Prefills) > 0
}

// Kind implements Message.
func (LoadReport) Kind() Kind { return KindLoadReport }

// LoadTotals is what all daemons except the receiver have in flight, as known to the
// aggregator.
type LoadTotals struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// Full means that upstreams that aren't listed have nothing in flight.
	Full  bool
	Loads UpstreamLoads
	// Daemons is the number of daemons that the totals cover.
	Daemons int
	// Unavailable holds the engines that have newly been reported as accepting no work,
	// Prefills recent prefills.
	Unavailable []UnavailableEngine
	Prefills    PrefillEvents
	// ConfigVersion, ListPosition, ListDigest, ListSize and ListAge describe the
	// aggregator's state, as in MemberState: it reads the store for all.
	ConfigVersion uint64
	ListPosition  uint64
	ListDigest    uint64
	ListSize      int
	ListAge       time.Duration
	// ConfigBytes is the size of the aggregator's configuration.
	ConfigBytes int
}

// Kind implements Message.
func (LoadTotals) Kind() Kind { return KindLoadTotals }

// SnapshotRequest asks a peer for a snapshot of its view of the engines.
type SnapshotRequest struct {
	// Engines are those whose cached prompt parts the sender doesn't know.
	Engines []placement.Key `msgpack:"o"`
}

// Kind implements Message.
func (SnapshotRequest) Kind() Kind { return KindSnapshotRequest }

// SnapshotReply is the response to a SnapshotRequest.
type SnapshotReply struct {
	Snapshot placement.Snapshot `msgpack:"b"`
}

// Kind implements Message.
func (SnapshotReply) Kind() Kind { return KindSnapshotReply }
