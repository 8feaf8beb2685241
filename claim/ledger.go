package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// Ledger is the fold of all claims, withdrawals and outcomes in the journal.
// Ledgers that have read all records up to the same position are equal, and so
// agree on which attempt may run a key's call. It isn't safe for concurrent use.
//
// The first claim of a key, by position, may run. The key is free again only
// after the claimant itself has withdrawn the claim, or when it is forgotten:
// KeyTTL after the claim, by the log's clock.
type Ledger struct {
	cfg Config
	// now is the latest log time that was read.
	now time.Time
	// position is the position of the last entry read.
	position  journal.Position
	keys      *buckets
	holders   map[KeyID]holder
	responses *responseCache
	gap       *gap
	// checkpoints notes when the last complete checkpoint was read.
	checkpoints checkpointTracker
	corrupt     int
}

// holder is the attempt whose claim of a key was accepted.
type holder struct {
	attempt AttemptID
	// writer is the hash of the claimant's name: only the claimant may withdraw.
	writer uint64
	// at is the log's time of the claim, readAt this process's time when it read
	// the claim. Both are zero if the claim is known from a checkpoint.
	at, readAt time.Time
}

var (
	_ journal.StateMachine = (*Ledger)(nil)
	_ journal.TrimListener = (*Ledger)(nil)
)

// NewLedger returns an empty ledger. It assumes a complete history until Trimmed
// is called.
func NewLedger(cfg Config) *Ledger {
	cfg = cfg.withDefaults()
	l := &Ledger{cfg: cfg}
	l.clear()
	return l
}

func (l *Ledger) clear() {
	l.keys = newBuckets(l.cfg.KeyTTL)
	l.holders = map[KeyID]holder{}
	l.responses = newResponseCache(l.cfg.ResponseCacheBytes)
	l.now = time.Time{}
}

// Apply implements journal.StateMachine. An entry that can't be decoded is counted
// and skipped, by every reader alike.
func (l *Ledger) Apply(p journal.LogEntry) { l.fold(p) }

// fold applies an entry and returns its message, or nil if it can't be decoded.
func (l *Ledger) fold(p journal.LogEntry) any {
	l.position = p.Position
	m, err := decodeEntry(p.Entry.Body)
	if err != nil {
		l.corrupt++
		return nil
	}
	e := event{
		position: p.Position,
		at:       p.At,
		readAt:   p.ReadAt,
		writer:   xxhash.Sum64String(p.Entry.Writer),
		message:  m,
	}
	if c, ok := m.(*checkpoint); ok {
		l.applyCheckpoint(e, c)
		return m
	}
	l.appendTail(e)
	l.apply(e)
	return m
}

// Trimmed implements journal.TrimListener. The known state may be out of date, so the
// ledger starts from scratch, after a gap that a checkpoint closes.
func (l *Ledger) Trimmed(oldest infra.Offset) {
	l.clear()
	l.gap = newGap(oldest)
}

// event is a decoded entry.
type event struct {
	position journal.Position
	at       time.Time
	readAt   time.Time
	writer   uint64
	message  any
}

func (l *Ledger) apply(e event) {
	l.advance(e.at)
	switch m := e.message.(type) {
	case *claimRequest:
		l.applyClaim(e, m)
	case *withdrawal:
		l.applyWithdrawal(e, m)
	case *outcome:
		l.applyOutcome(e, m)
	case *brokenOff:
		l.applyBrokenOff(e, m)
	}
}

// advance moves the ledger's time forward and forgets what has expired by then.
func (l *Ledger) advance(at time.Time) {
	if !at.After(l.now) {
		return
	}
	l.now = at
	l.keys.expire(at, func(key KeyID, _ row) { delete(l.holders, key) })
	l.responses.expire(at.Add(-l.cfg.Retention))
}

// applyClaim accepts or rejects a claim. An attempt is decided once, by its first
// record: a late second copy must not be accepted after the first was rejected
// or withdrawn, as its claimant no longer waits for it.
func (l *Ledger) applyClaim(e event, m *claimRequest) {
	if l.keys.isRetired(m.Attempt) || l.holders[m.Key].attempt == m.Attempt {
		return
	}
	index := l.keys.index(l.now)
	if _, taken := l.keys.find(m.Key); taken != nil || l.outOfTime(m.CreatedAtMillis) {
		l.keys.retire(index, m.Attempt)
		return
	}
	l.keys.put(index, m.Key, row{digest: m.Digest, phase: phaseClaimed})
	l.holders[m.Key] = holder{attempt: m.Attempt, writer: e.writer, at: e.at, readAt: e.readAt}
}

// outOfTime reports whether a timed key must not be claimed at the ledger's time:
// either it could have been claimed and forgotten by now, or it is so far ahead
// that it would be forgotten before tooOld holds for it.
func (l *Ledger) outOfTime(createdMillis int64) bool {
	if createdMillis == 0 {
		return false
	}
	created := time.UnixMilli(createdMillis)
	return l.tooOld(created) || created.After(l.now.Add(l.cfg.KeySkew))
}

// tooOld reports whether a key that was created at that time may have been
// forgotten by now. No claim is accepted more than KeySkew before the creation
// time, so until then the key is still known.
func (l *Ledger) tooOld(created time.Time) bool {
	return l.now.After(created.Add(l.cfg.KeyTTL - l.cfg.KeySkew))
}

// holds reports whether the event's writer holds the key by that attempt.
func (l *Ledger) holds(e event, key KeyID, attempt AttemptID) bool {
	h, ok := l.holders[key]
	return ok && h.attempt == attempt && h.writer == e.writer
}

func (l *Ledger) applyWithdrawal(e event, m *withdrawal) {
	if !l.holds(e, m.Key, m.Attempt) {
		return
	}
	delete(l.holders, m.Key)
	l.keys.remove(m.Key)
	l.keys.retire(l.keys.index(l.now), m.Attempt)
}

func (l *Ledger) applyOutcome(e event, m *outcome) {
	if l.settle(e, m.Key, m.Attempt, row{digest: m.Digest, status: m.Status, phase: phaseDone}) && m.Complete {
		l.responses.put(m.Key, l.now, m)
	}
}

func (l *Ledger) applyBrokenOff(e event, m *brokenOff) {
	l.settle(e, m.Key, m.Attempt, row{digest: m.Digest, phase: phaseBrokenOff})
}

// settle replaces a claim by its outcome. After a gap the claim itself may be
// unknown; its outcome shows that it had been accepted.
func (l *Ledger) settle(e event, key KeyID, attempt AttemptID, r row) bool {
	_, known := l.keys.find(key)
	if known == nil && l.gap != nil {
		l.keys.put(l.keys.index(l.now), key, r)
		return true
	}
	if !l.holds(e, key, attempt) {
		return false
	}
	delete(l.holders, key)
	known.rows[key] = r
	return true
}

// keyView is the ledger's state of one key.
type keyView struct {
	row
	holder holder
	// outcome holds the recorded response, if it is still cached.
	outcome *outcome
	// exact says that the ledger knows every claim of the key.
	exact bool
}

func (l *Ledger) view(key Key) keyView {
	v := keyView{exact: l.exact(key)}
	v.row, _ = l.keys.find(key.ID)
	v.holder = l.holders[key.ID]
	if v.phase == phaseDone {
		v.outcome = l.responses.get(key.ID)
	}
	return v
}

// KeyState is the state of a key in a ledger.
type KeyState uint8

// The states of a key.
const (
	// KeyFree: no accepted claim is known.
	KeyFree = KeyState(phaseFree)
	// KeyClaimed: an attempt may be running.
	KeyClaimed = KeyState(phaseClaimed)
	// KeyDone: it ran, and its response or only its status was recorded.
	KeyDone = KeyState(phaseDone)
	// KeyBrokenOff: it may have run; its outcome will never be known.
	KeyBrokenOff = KeyState(phaseBrokenOff)
)

// Lookup returns the state of a key, and the attempt that holds it if it is
// claimed.
func (l *Ledger) Lookup(k Key) (KeyState, AttemptID) {
	v := l.view(k)
	return KeyState(v.phase), v.holder.attempt
}

// age returns a lower bound of a claim's age.
func (l *Ledger) age(h holder, now time.Time) time.Duration {
	return max(now.Sub(h.readAt), l.now.Sub(h.at))
}

// exact reports whether the ledger knows every claim of the key. After a gap this
// holds only for timed keys created after it, as no claim is accepted more than
// KeySkew before the key's creation time.
func (l *Ledger) exact(key Key) bool {
	if l.gap == nil {
		return true
	}
	return key.Timed() && l.gap.started() && !key.CreatedAt.Before(l.gap.since.Add(l.cfg.KeySkew))
}

// Len returns the number of known keys and of rejected or withdrawn attempts.
func (l *Ledger) Len() int { return l.keys.size }

// Complete reports whether the ledger knows every claim of the last KeyTTL.
func (l *Ledger) Complete() bool { return l.gap == nil }

// Corrupt returns the number of entries that couldn't be decoded.
func (l *Ledger) Corrupt() int { return l.corrupt }

// Fingerprint returns a hash of the known keys and attempts. It is equal for
// complete ledgers at equal positions.
func (l *Ledger) Fingerprint() uint64 {
	var sum uint64
	l.rows(func(r *checkpointRow) { sum ^= xxhash.Sum64(encodeRow(r)) })
	return sum
}
