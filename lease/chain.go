package lease

import "tamarackchute/journal"

// Link is the verdict of a Chain on a record.
type Link uint8

// The verdicts.
const (
	// LinkStale: the record names an outdated predecessor and is rejected.
	LinkStale Link = iota
	// LinkFollows: the record names the last accepted one.
	LinkFollows
	// LinkStarts: the reader knows no earlier record and accepts this one
	// provisionally.
	LinkStarts
	// LinkRestarts: the record shows that the one the reader started from had
	// been rejected, against a record that has expired since.
	LinkRestarts
)

// Chain is the compare-and-set over the records of one subject. Each record
// names its predecessor and is accepted if that is the last accepted record.
// A reader of a trimmed log accepts the first record it reads provisionally:
// it may have been rejected against a record that has expired since.
type Chain struct {
	started bool
	// base is the predecessor that the first accepted record names, first that
	// record's position, last the position of the last accepted record.
	base, first, last journal.Position
}

// Classify returns the verdict on a record at a position; it changes nothing.
func (c Chain) Classify(after, at journal.Position) Link {
	switch {
	case !after.Less(at):
		return LinkStale
	case !c.started:
		return LinkStarts
	case after == c.last:
		return LinkFollows
	case c.base.Less(after) && after.Less(c.first):
		// A rejected record names an older predecessor than the next accepted
		// record does. So the reader's first record had been rejected, and from
		// here on the reader agrees with those that read everything.
		return LinkRestarts
	default:
		return LinkStale
	}
}

// Accept records an accepted record, with the link that Classify returned.
func (c *Chain) Accept(link Link, after, at journal.Position) {
	if link == LinkStarts {
		c.first = at
	}
	if link != LinkFollows {
		c.base = after
		c.started = true
	}
	c.last = at
}

// Reset makes the next record start the chain again, for a reader that missed
// records because they expired before it read them.
func (c *Chain) Reset() { c.started = false }

// Provisional reports whether the last accepted record is the one that the
// chain started from, so that later records may still show that it had been
// rejected.
func (c Chain) Provisional() bool { return c.started && c.last == c.first }

// Last returns the position of the last accepted record.
func (c Chain) Last() journal.Position { return c.last }
