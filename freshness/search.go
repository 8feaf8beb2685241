package freshness

import "time"

// Shares are the ages of a proof, as shares of the limit, at which the next one is sought from each
// source.
type Shares struct {
	// FirstRead is when the process that reads the source for the others does so.
	FirstRead float64
	// Ask is when a process asks the one that it reports to, AskAny when it asks any other one.
	Ask, AskAny float64
	// OwnRead is when it reads the source itself; OwnReadSpread is spread over the processes, so that
	// one read may serve several.
	OwnRead, OwnReadSpread float64
	// Repeat is the time between two requests of the same kind.
	Repeat float64
}

// KeyShares are the Shares for documents that mustn't be used beyond the limit: each source is tried
// early.
var KeyShares = Shares{FirstRead: 0.08, Ask: 0.1, OwnRead: 0.3, OwnReadSpread: 0.1, AskAny: 0.45, Repeat: 0.05}

// ConfigShares are the Shares for documents whose changes usually arrive by another way, which may fail
// unnoticed: there is time to ask other processes before the source.
var ConfigShares = Shares{FirstRead: 0.2, Ask: 0.3, AskAny: 0.4, OwnRead: 0.5, OwnReadSpread: 0.15, Repeat: 0.1}

// Search decides where a process seeks its next proof.
type Search struct {
	// Limit is the age up to which a proof suffices.
	Limit  Limit
	Shares Shares
	// Spread is this process's place among the others, from 0 to 1.
	Spread float64

	lastRead, lastAsk, lastAnyPeer time.Duration
}

// Step says where to seek a proof now.
type Step struct {
	// Read means the source, Ask the process that this one reports to, AskAny another process
	// chosen at random.
	Read, Ask, AskAny bool
}

// Or returns the steps of both.
func (s Step) Or(o Step) Step {
	return Step{Read: s.Read || o.Read, Ask: s.Ask || o.Ask, AskAny: s.AskAny || o.AskAny}
}

// Next returns what to do at a time, with the age of the latest proof. first means that this
// process reads for the others.
func (s *Search) Next(now, age time.Duration, first bool) Step {
	var step Step
	readAt := s.Shares.OwnRead + s.Shares.OwnReadSpread*s.Spread
	if first {
		readAt = s.Shares.FirstRead
	}
	step.Read = s.due(now, age, readAt, &s.lastRead)
	step.Ask = !first && s.due(now, age, s.Shares.Ask, &s.lastAsk)
	step.AskAny = s.due(now, age, s.Shares.AskAny, &s.lastAnyPeer)
	return step
}

// due reports whether the age has reached a share of the limit and the last request of the kind
// was long enough ago, and records the request if so.
func (s *Search) due(now, age time.Duration, share float64, last *time.Duration) bool {
	if age < s.share(share) || (*last != 0 && now-*last < s.share(s.Shares.Repeat)) {
		return false
	}
	*last = now
	return true
}

func (s *Search) share(x float64) time.Duration { return time.Duration(x * float64(s.Limit)) }
