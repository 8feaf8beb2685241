package membership

// State is what an observer believes about an instance.
type State uint8

// The states. Their numbers go over the wire: never reuse one.
const (
	// Gone: silent for long, or not in the platform's list any more.
	Gone State = 0
	// Suspected: silent for a while, or known by the platform's list alone.
	Suspected State = 1
	// Live: heard of lately.
	Live State = 2
	// Leaving: says so itself, or the platform does. It still serves, but no
	// caller is sent there any more.
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

// Heartbeat goes from each instance to every other of its data centre.
type Heartbeat struct {
	From string `msgpack:"f"`
	// Incarnation tells the starts of an instance apart: messages of an earlier
	// start don't count any more.
	Incarnation uint64 `msgpack:"i"`
	// Seq counts the heartbeats of an incarnation.
	Seq     uint64 `msgpack:"q"`
	Leaving bool   `msgpack:"l,omitempty"`
	// Unheard names those of the data centre whom the sender doesn't hear. An
	// instance that isn't named there is vouched for by the sender.
	Silent []SilentPeer `msgpack:"u,omitempty"`
	// Truncated says that Unheard was too long to be sent whole.
	Truncated bool `msgpack:"t,omitempty"`
}

// Suspect names an instance that the sender of a heartbeat doesn't hear, with
// the highest incarnation that the sender knows of it.
type SilentPeer struct {
	Name        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// Summary is what one instance believes about its own data centre. It goes to
// one instance of each other data centre, which hands it on within its own.
type Summary struct {
	DataCentre  string `msgpack:"d"`
	From        string `msgpack:"f"`
	Incarnation uint64 `msgpack:"i"`
	// Seq counts the summaries of an incarnation of From.
	Seq     uint64   `msgpack:"q"`
	Members []Member `msgpack:"m"`
	// Hears names the data centres of which From has a recent summary.
	ReceivesFrom []string `msgpack:"h,omitempty"`
	// Relayed says that the summary was handed on within a data centre; it goes
	// no further.
	Relayed bool `msgpack:"r,omitempty"`
}

// Member is one instance in a summary.
type Member struct {
	Name        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	State       State  `msgpack:"s"`
}
