package membership

// State is the state of an instance as seen by an observer.
type State uint8

// The states. Their numbers are sent over the network: never reuse one.
const (
	// Gone: without heartbeats for long, or removed from the platform's list.
	Gone State = 0
	// Suspected: without recent heartbeats, or known only from the platform's list.
	Suspected State = 1
	// Live: running according to recent messages.
	Live State = 2
	// Leaving: shutting down according to its own messages or the platform. It
	// still serves, but callers are no longer sent there.
	Leaving State = 3
)

func (s State) String() string {
	switch s {
	case Gone:
		return "gone"
	case Suspected:
		return "suspected"
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Message is a Heartbeat or a Summary.
type Message interface {
	membershipMessage()
}

func (Heartbeat) membershipMessage() {}
func (Summary) membershipMessage()   {}

// Heartbeat is sent by each instance to every other instance of its data centre.
type Heartbeat struct {
	From string `msgpack:"f"`
	// Incarnation distinguishes the starts of an instance: messages of an earlier
	// start are ignored.
	Incarnation uint64 `msgpack:"i"`
	// Seq numbers the heartbeats of an incarnation.
	Seq     uint64 `msgpack:"q"`
	Leaving bool   `msgpack:"l,omitempty"`
	// Silent lists the instances of the data centre from which the sender receives
	// no heartbeats. The sender vouches for all others.
	Silent []SilentPeer `msgpack:"u,omitempty"`
	// Truncated means that Silent is incomplete, since it would be too long.
	Truncated bool `msgpack:"t,omitempty"`
}

// SilentPeer is an instance from which the sender of a heartbeat receives no
// heartbeats, with the highest incarnation that the sender knows of it.
type SilentPeer struct {
	Name        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// Summary is one instance's view of its own data centre. It is sent to one
// instance of each other data centre, which relays it within its data centre.
type Summary struct {
	DataCentre  string `msgpack:"d"`
	From        string `msgpack:"f"`
	Incarnation uint64 `msgpack:"i"`
	// Seq numbers the summaries of an incarnation of From.
	Seq     uint64   `msgpack:"q"`
	Members []Member `msgpack:"m"`
	// ReceivesFrom lists the data centres of which From has a recent summary.
	ReceivesFrom []string `msgpack:"h,omitempty"`
	// Relayed means that the summary was relayed within the receiving data centre
	// and must not be relayed again.
	Relayed bool `msgpack:"r,omitempty"`
}

// Member is one instance in a summary.
type Member struct {
	Name        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	State       State  `msgpack:"s"`
}
