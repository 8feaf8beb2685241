package claim

import (
	"maps"
	"slices"
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// Core is the decision logic of one process's protected calls: a state machine
// without I/O, over the process's Ledger. Guard runs it; other runtimes, and
// the proofs, can too. It isn't safe for concurrent use.
//
// A call goes through Start, then Claimed, Confirm and Dispatched as its steps
// ask. While it waits, Changed says when to call Resume.
type Core struct {
	cfg    Config
	ledger *Ledger
	calls  map[CallID]*call
	lastID CallID
	// latched holds the attempts that must never be dispatched, although their
	// claims may have reached the log or may still do: their callers were told
	// "not run". When such a claim is read it is withdrawn.
	blocked map[AttemptID]time.Time
	// withdrawing holds those of them whose withdrawal is under way.
	withdrawing map[AttemptID]struct{}
	// local holds the outcomes of this process that it has not read back yet.
	local   map[KeyID]*localOutcome
	outbox  []Message
	changed map[CallID]struct{}
	started time.Time
	// NewAttempt makes the ids of attempts; they must be unique for good. It is
	// random unless replaced, as by tests that must repeat themselves.
	NewAttempt func() AttemptID
}

// CallID names a call within its Core.
type CallID uint64

// Env is what a step needs to know of its surroundings.
type Env struct {
	// Now is the process's own clock, with its monotonic part.
	Now time.Time
	// LogUp is whether the log answers, as far as is known.
	LogUp bool
}

// Message is an entry that the runtime appends in the background, and again
// until it is known to be there or RecordFor is over. Then it calls Sent.
type Message struct {
	Entry   journal.Entry
	key     KeyID
	attempt AttemptID
}

// localOutcome is an outcome that other processes may not know yet.
type localOutcome struct {
	attempt  AttemptID
	row      row
	response *outcome
}

// Bounds of the core.
const (
	// maxLatched bounds the attempts with unclear claims; beyond it no call is
	// claimed.
	maxBlocked = 1 << 16
	// maxClaims is how often one call claims its key.
	maxClaims = 4
)

// NewCore returns the state machine of a process that has read nothing.
func NewCore(cfg Config, now time.Time) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		cfg:         cfg,
		ledger:      NewLedger(cfg),
		calls:       map[CallID]*call{},
		blocked:     map[AttemptID]time.Time{},
		withdrawing: map[AttemptID]struct{}{},
		local:       map[KeyID]*localOutcome{},
		changed:     map[CallID]struct{}{},
		started:     now,
		NewAttempt:  newAttempt,
	}
}

// Ledger returns the core's ledger, for reading only.
func (c *Core) Ledger() *Ledger { return c.ledger }

// Apply folds an entry.
func (c *Core) Apply(p journal.Placed) {
	c.handleMessage(c.ledger.fold(p))
	c.pruneBlocked()
}

// Trimmed says that records expired before they were read.
func (c *Core) Trimmed(oldest infra.Offset) {
	c.ledger.Trimmed(oldest)
	for id, k := range c.calls {
		if k.state == stateWaiting {
			c.changed[id] = struct{}{}
		}
	}
}

// touched looks at what a message means to this process's own calls.
func (c *Core) handleMessage(m any) {
	switch m := m.(type) {
	case *claimRequest:
		c.withdraw(m.Key, m.Attempt)
	case *withdrawal:
		c.markChanged(m.Key)
	case *outcome:
		c.outcomeRead(m.Key)
	case *brokenOff:
		c.outcomeRead(m.Key)
	}
}

// withdraw appends the withdrawal of a claim that has won although its call
// was given up, so that a resend can run.
func (c *Core) withdraw(key KeyID, attempt AttemptID) {
	_, latched := c.blocked[attempt]
	_, underWay := c.withdrawing[attempt]
	if !latched || underWay || c.ledger.holders[key].attempt != attempt {
		return
	}
	c.withdrawing[attempt] = struct{}{}
	m := withdrawal{Key: key, Attempt: attempt}
	c.outbox = append(c.outbox, Message{Entry: m.entry(), key: key, attempt: attempt})
}

// latch makes sure that an attempt is never dispatched.
func (c *Core) block(env Env, key KeyID, attempt AttemptID) {
	c.blocked[attempt] = env.Now
	c.withdraw(key, attempt)
}

// pruneLatched forgets attempts whose records would have expired unread.
func (c *Core) pruneBlocked() {
	if len(c.blocked) < maxBlocked/2 {
		return
	}
	var newest time.Time
	for _, at := range c.blocked {
		if at.After(newest) {
			newest = at
		}
	}
	for a, at := range c.blocked {
		if newest.Sub(at) > 2*c.cfg.Retention {
			delete(c.blocked, a)
		}
	}
}

// settled notes that a key's outcome was read.
func (c *Core) outcomeRead(key KeyID) {
	if l, ok := c.local[key]; ok && c.ledger.holders[key].attempt != l.attempt {
		delete(c.local, key)
	}
	c.markChanged(key)
}

func (c *Core) markChanged(key KeyID) {
	for id, call := range c.calls {
		if call.state == stateWaiting && call.key.ID == key {
			c.changed[id] = struct{}{}
		}
	}
}

// Changed returns the waiting calls for which something changed, and forgets
// them.
func (c *Core) Changed() []CallID {
	if len(c.changed) == 0 {
		return nil
	}
	ids := slices.Sorted(maps.Keys(c.changed))
	clear(c.changed)
	return ids
}

// Outbox returns the messages to append, and empties the list.
func (c *Core) Outbox() []Message {
	out := c.outbox
	c.outbox = nil
	return out
}

// Sent says that a message was appended, or was given up. After that other
// processes can learn no more of its call.
func (c *Core) Sent(m Message) {
	delete(c.withdrawing, m.attempt)
	if l, ok := c.local[m.key]; ok && l.attempt == m.attempt {
		delete(c.local, m.key)
	}
}

// CheckpointDue reports whether this process should append a checkpoint, so
// that what the log lets expire stays known. Each process has its own moment,
// by its name, so that one of them comes first.
func (c *Core) CheckpointDue(now, wall time.Time) bool {
	if !c.ledger.Complete() {
		return false
	}
	w := c.ledger.checkpoints
	seen := c.started
	if w.lastRead.After(seen) {
		seen = w.lastRead
	}
	idle := now.Sub(seen)
	due := c.cfg.checkpointEvery()
	if idle >= due {
		return true
	}
	// A process that has just started reads checkpoints that may be old. Its
	// wall clock may be wrong, so it doesn't go by it alone.
	return idle >= due/4 && wall.Sub(w.last) >= due
}

// Checkpoint returns the entries of a new checkpoint. The journal must have
// applied all up to applied before the call.
func (c *Core) Checkpoint(applied journal.Position) []journal.Entry {
	return c.ledger.checkpoint(applied)
}

// AcceptGap returns the entries by which an operator accepts that calls with
// plain keys from before the gap are forgotten. It returns none if there is no
// gap.
func (c *Core) AcceptGap() []journal.Entry {
	if c.ledger.Complete() {
		return nil
	}
	return c.ledger.acceptGap()
}
