package claim

import (
	"maps"
	"slices"
	"time"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// Core decides on one process's protected calls, over its Ledger and without I/O, so
// that simulations can run it as Guard does. It isn't safe for concurrent use. A call
// goes through Start, then Claimed, Confirm and Dispatched as its steps request.
// While it waits, Changed says when to call Resume.
type Core struct {
	cfg    Config
	ledger *Ledger
	calls  map[CallID]*call
	lastID CallID
	// blocked holds the attempts that must never be dispatched, although their
	// claims may reach the log: their callers got NotRun. Such a claim is
	// withdrawn once it is read.
	blocked map[AttemptID]time.Time
	// withdrawing holds the blocked attempts whose withdrawal is pending.
	withdrawing map[AttemptID]struct{}
	// local holds this process's outcomes that it has not read back yet.
	local   map[KeyID]*localOutcome
	outbox  []Message
	changed map[CallID]struct{}
	started time.Time
	// NewAttempt returns attempt IDs, which must be unique forever. It is random
	// unless replaced, as by deterministic tests.
	NewAttempt func() AttemptID
}

// CallID identifies a call within its Core.
type CallID uint64

// Env is the environment of a step.
type Env struct {
	// Now is the process's clock, with its monotonic reading.
	Now time.Time
	// LogUp says whether the log is believed to be available.
	LogUp bool
}

// Message is an entry that the runtime appends in the background. It retries until
// the entry is known to be in the log or RecordTimeout has passed, then calls
// Sent.
type Message struct {
	Entry   journal.Entry
	key     KeyID
	attempt AttemptID
}

// localOutcome is an outcome that other processes may not know yet.
type localOutcome struct {
	attempt AttemptID
	row     row
	outcome *outcome
}

// Bounds of the core.
const (
	// maxBlocked bounds the attempts with unclear claims; beyond it no call is
	// claimed.
	maxBlocked = 1 << 16
	// maxClaims bounds how often one call claims its key.
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

// Ledger returns the core's ledger, which must not be changed.
func (c *Core) Ledger() *Ledger { return c.ledger }

// Apply folds a journal entry.
func (c *Core) Apply(p journal.LogEntry) {
	c.handleMessage(c.ledger.fold(p))
	c.pruneBlocked()
}

// Trimmed notes that records expired before they were read.
func (c *Core) Trimmed(oldest infra.Offset) {
	c.ledger.Trimmed(oldest)
	for id, k := range c.calls {
		if k.state == stateWaiting {
			c.changed[id] = struct{}{}
		}
	}
}

// handleMessage applies a folded message to this process's calls.
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

// withdraw appends the withdrawal of a claim that was accepted although its
// attempt is blocked, so that a retry can run.
func (c *Core) withdraw(key KeyID, attempt AttemptID) {
	_, blocked := c.blocked[attempt]
	_, pending := c.withdrawing[attempt]
	if !blocked || pending || c.ledger.holders[key].attempt != attempt {
		return
	}
	c.withdrawing[attempt] = struct{}{}
	m := withdrawal{Key: key, Attempt: attempt}
	c.outbox = append(c.outbox, Message{Entry: m.entry(), key: key, attempt: attempt})
}

// block makes sure that an attempt is never dispatched.
func (c *Core) block(env Env, key KeyID, attempt AttemptID) {
	c.blocked[attempt] = env.Now
	c.withdraw(key, attempt)
}

// pruneBlocked forgets attempts that are so old that their claims would have
// expired from the log.
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

// outcomeRead notes that a key's outcome was read from the log.
func (c *Core) outcomeRead(key KeyID) {
	if l, ok := c.local[key]; ok && c.ledger.holders[key].attempt != l.attempt {
		delete(c.local, key)
	}
	c.markChanged(key)
}

// markChanged marks the calls that wait for a change of a key.
func (c *Core) markChanged(key KeyID) {
	for id, call := range c.calls {
		if call.state == stateWaiting && call.key.ID == key {
			c.changed[id] = struct{}{}
		}
	}
}

// Changed returns the waiting calls whose key changed since the last call of
// Changed.
func (c *Core) Changed() []CallID {
	if len(c.changed) == 0 {
		return nil
	}
	ids := slices.Sorted(maps.Keys(c.changed))
	clear(c.changed)
	return ids
}

// Outbox returns the messages to append and clears the list.
func (c *Core) Outbox() []Message {
	out := c.outbox
	c.outbox = nil
	return out
}

// Sent notes that a message was appended or given up. Other processes learn
// nothing more about its call after that.
func (c *Core) Sent(m Message) {
	delete(c.withdrawing, m.attempt)
	if l, ok := c.local[m.key]; ok && l.attempt == m.attempt {
		delete(c.local, m.key)
	}
}

// CheckpointDue reports whether this process should append a checkpoint, so
// that keys outlive the log's retention. The interval depends on the process's
// name, so that one of the processes comes first.
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
	// A process that has just started may read an old checkpoint, whose age it
	// can only tell by its wall clock. That may be wrong, so idle counts too.
	return idle >= due/4 && wall.Sub(w.last) >= due
}

// Checkpoint returns the entries of a new checkpoint. The journal must have
// applied all entries up to applied before the call.
func (c *Core) Checkpoint(applied journal.Position) []journal.Entry {
	return c.ledger.checkpoint(applied)
}

// AcceptGap returns the entries by which an operator accepts that calls with
// untimed keys from before the gap are forgotten. It returns none if there is no
// gap.
func (c *Core) AcceptGap() []journal.Entry {
	if c.ledger.Complete() {
		return nil
	}
	return c.ledger.acceptGap()
}
