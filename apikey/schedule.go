package apikey

import "time"

// Shares of the limit at which the next proof is sought. Most daemons learn it from one that
// reads the source; each turns to the source itself, and then to any other daemon, well before
// its own proof is too old.
const (
	// firstReadShare is the age at which the daemon that reads for the others does so.
	firstReadShare = 0.08
	// askShare is the age at which a daemon asks the one that it reports to.
	askShare = 0.1
	// ownReadShare is the age at which it reads the source itself; ownReadSpread is spread over
	// the daemons, so that one read may serve several.
	ownReadShare  = 0.3
	ownReadSpread = 0.1
	// anyPeerShare is the age at which it asks any other daemon.
	anyPeerShare = 0.45
	// repeatShare is the time between two requests of the same kind.
	repeatShare = 0.05
)

// Search decides where a daemon seeks its next proof.
type Search struct {
	// Limit is the age up to which a proof allows the use of keys.
	Limit time.Duration
	// Spread is this daemon's place among the others, from 0 to 1.
	Spread float64

	lastRead, lastAsk, lastAnyPeer time.Duration
}

// Step says where to seek a proof now.
type Step struct {
	// Read means the source, Ask the daemon that this one reports to, AskAny another daemon
	// chosen at random.
	Read, Ask, AskAny bool
}

// Next returns what to do at a time, with the age of the latest proof. first means that this
// daemon reads for the others.
func (s *Search) Next(now, age time.Duration, first bool) Step {
	var step Step
	readAt := ownReadShare + ownReadSpread*s.Spread
	if first {
		readAt = firstReadShare
	}
	step.Read = s.due(now, age, readAt, &s.lastRead)
	step.Ask = !first && s.due(now, age, askShare, &s.lastAsk)
	step.AskAny = s.due(now, age, anyPeerShare, &s.lastAnyPeer)
	return step
}

// due reports whether the age has reached a share of the limit and the last request of the kind
// was long enough ago, and records the request if so.
func (s *Search) due(now, age time.Duration, share float64, last *time.Duration) bool {
	if age < s.share(share) || (*last != 0 && now-*last < s.share(repeatShare)) {
		return false
	}
	*last = now
	return true
}

func (s *Search) share(x float64) time.Duration { return time.Duration(x * float64(s.Limit)) }
