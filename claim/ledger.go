package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// Ledger is the state that all claims, withdrawals and outcomes in the journal
// add up to. It is a pure fold: ledgers that have read all records up to the
// same position are equal, and so agree who may run a key's call. It isn't
// safe for concurrent use.
//
// The first claim of a key, by position, may run. The key is free again only
// after the claimant itself has withdrawn the claim, or when it is forgotten:
// Remember after the claim, by the log's clock.
type Ledger struct {
	cfg Config
	// now is the latest of the log's times that were read.
	now time.Time
	// position is that of the last entry read.
	position  journal.Position
	keys      *buckets
	holders   map[KeyID]holder
	responses *responseCache
	gap       *gap
	// checkpoints tells when the last whole checkpoint was read.
	checkpoints checkpointTracker
	corrupt     int
}

// holder is the attempt whose claim of a key stands.
type holder struct {
	attempt AttemptID
	// writer is the hash of the claimant's name: only it may withdraw.
	writer uint64
	// at is the log's time of the claim; readAt is when this process read it,
	// by its own clock. Both are zero if the claim is known from a checkpoint.
	at, readAt time.Time
}

var (
	_ journal.Folder  = (*Ledger)(nil)
	_ journal.Trimmer = (*Ledger)(nil)
)

// NewLedger returns a ledger that has read nothing. It takes the history as
// complete until it is told of expired records.
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

// Apply implements journal.Folder. An entry that can't be decoded is counted
// and skipped, alike by every reader.
func (l *Ledger) Apply(p journal.Placed) { l.fold(p) }

// fold applies an entry and returns its message, nil if it can't be decoded.
func (l *Ledger) fold(p journal.Placed) any {
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

// Trimmed implements journal.Trimmer. What was known may be out of date from
// here on, so the ledger starts anew, behind a gap that a checkpoint closes.
func (l *Ledger) Trimmed(oldest infra.Offset) {
	l.clear()
	l.gap = newGap(oldest)
}

// event is one decoded entry.
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

// advance moves the ledger's time on and forgets what is older than Remember.
func (l *Ledger) advance(at time.Time) {
	if !at.After(l.now) {
		return
	}
	l.now = at
	l.keys.expire(at, func(key KeyID, _ row) { delete(l.holders, key) })
	l.responses.expire(at.Add(-l.cfg.Retention))
}

// applyClaim decides on a claim. An attempt is decided once, by its first
// record: a late second copy must not win after the first lost or was
// withdrawn, as its claimant doesn't wait for it any more.
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

// outOfTime reports whether a timed key may not be claimed at the ledger's
// time: it could have been known and forgotten by now, or it would be
// forgotten before it counts as old.
func (l *Ledger) outOfTime(madeMillis int64) bool {
	if madeMillis == 0 {
		return false
	}
	made := time.UnixMilli(madeMillis)
	return l.tooOld(made) || made.After(l.now.Add(l.cfg.KeySkew))
}

// tooOld reports whether a key made then may have been forgotten by now. Its
// first claim was taken no earlier than KeySkew before it was made, so up to
// here it is still known.
func (l *Ledger) tooOld(made time.Time) bool {
	return l.now.After(made.Add(l.cfg.KeyTTL - l.cfg.KeySkew))
}

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

// settle ends a claim. Behind a gap the claim itself may be unknown; that it
// was settled still says that it had won.
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

// view is what the ledger tells of one key.
type keyView struct {
	row
	holder holder
	// answer is the recorded answer, if it is still kept.
	response *outcome
	// exact is whether the ledger knows every claim of the key.
	exact bool
}

func (l *Ledger) view(key Key) keyView {
	v := keyView{exact: l.exact(key)}
	v.row, _ = l.keys.find(key.ID)
	v.holder = l.holders[key.ID]
	if v.phase == phaseDone {
		v.response = l.responses.get(key.ID)
	}
	return v
}

// KeyState is what a ledger knows of a key.
type KeyState uint8

// The states of a key.
const (
	// KeyFree: no claim is known.
	KeyFree = KeyState(phaseFree)
	// KeyClaimed: an attempt may run, or runs.
	KeyClaimed = KeyState(phaseClaimed)
	// KeyDone: it ran, and its answer was recorded, whole or not.
	KeyDone = KeyState(phaseDone)
	// KeyBrokenOff: it may have run, and its answer will never be known.
	KeyBrokenOff = KeyState(phaseBrokenOff)
)

// Lookup tells what is known of a key, and the attempt that holds it if it is
// claimed.
func (l *Ledger) Lookup(k Key) (KeyState, AttemptID) {
	v := l.view(k)
	return KeyState(v.phase), v.holder.attempt
}

// age is how long ago a claim was made, at least.
func (l *Ledger) age(h holder, now time.Time) time.Duration {
	return max(now.Sub(h.readAt), l.now.Sub(h.at))
}

// exact reports whether no claim of the key can be missing. Behind a gap that
// holds for timed keys that were made after it, as none is claimed more than
// KeySkew before it was made.
func (l *Ledger) exact(key Key) bool {
	if l.gap == nil {
		return true
	}
	return key.Timed() && l.gap.started() && !key.CreatedAt.Before(l.gap.since.Add(l.cfg.KeySkew))
}

// Len returns the number of keys and decided attempts that are known.
func (l *Ledger) Len() int { return l.keys.size }

// Complete reports whether the ledger knows every claim of the last Remember.
func (l *Ledger) Complete() bool { return l.gap == nil }

// Corrupt returns the number of entries that could not be decoded.
func (l *Ledger) Corrupt() int { return l.corrupt }

// Fingerprint is a hash over the keys and attempts that are known. It is equal
// for complete ledgers at equal positions.
func (l *Ledger) Fingerprint() uint64 {
	var sum uint64
	l.rows(func(r *checkpointRow) { sum ^= xxhash.Sum64(encodeRow(r)) })
	return sum
}
