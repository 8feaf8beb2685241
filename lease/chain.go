package lease

import "tamarackchute/journal"

// Link is the verdict of a Chain on a record.
type Link uint8

// The verdicts.
const (
	// LinkLoses: the record names an outdated predecessor.
	LinkStale Link = iota
	// LinkFollows: the record names the last accepted one.
	LinkFollows
	// LinkStarts: the reader knows no earlier record; knowledge starts here.
	LinkStarts
	// LinkRestarts: the record shows that what the reader started from had
	// itself lost, against a record expired by then.
	LinkRestarts
)

// Chain is the compare-and-set over the records of one subject. Each record
// names its predecessor; it is accepted if that is the last accepted one.
//
// A reader that starts on a log whose oldest records have expired can't judge
// the first record it meets: it may be a late one that lost against a record
// now expired. It takes that record for the time being. The first record that
// truly was accepted names a predecessor which the reader didn't see either,
// and a later one than any loser can name, for losers name older records. So
// a record whose predecessor lies before the reader's first, but after the
// one that its chain started from, restarts the chain. From then on the
// reader agrees with those that read everything.
type Chain struct {
	begun bool
	// base is the predecessor named by the first record taken, first its
	// position, last the position of the last accepted record.
	base, first, last journal.Position
}

// Judge returns the verdict on a record at a position; it changes nothing.
func (c Chain) Classify(after, at journal.Position) Link {
	switch {
	case !after.Less(at):
		return LinkStale
	case !c.begun:
		return LinkStarts
	case after == c.last:
		return LinkFollows
	case c.base.Less(after) && after.Less(c.first):
		return LinkRestarts
	default:
		return LinkStale
	}
}

// Accept takes a record over, after Judge has returned the link.
func (c *Chain) Accept(link Link, after, at journal.Position) {
	if link == LinkStarts {
		c.first = at
	}
	if link != LinkFollows {
		c.base = after
		c.begun = true
	}
	c.last = at
}

// Forget makes the next record start the chain anew, for a reader that has
// missed records which expired before it read them.
func (c *Chain) Reset() { c.begun = false }

// Alone reports whether the last accepted record is the one that the reader's
// knowledge started from, so that it may still prove to have lost.
func (c Chain) Provisional() bool { return c.begun && c.last == c.first }

// Last returns the position of the last accepted record.
func (c Chain) Last() journal.Position { return c.last }
