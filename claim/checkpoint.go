package claim

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/infra"
	"tamarackchute/internal/codec"
	"tamarackchute/journal"
)

// maxTail bounds the entries kept after a gap until a checkpoint closes it.
const maxTail = 200_000

// maxPartialCheckpoints bounds the checkpoints collected at once.
const maxPartialCheckpoints = 8

// checkpointPartBytes is the approximate size of a checkpoint's part.
const checkpointPartBytes = 32 << 10

// gap collects entries after records expired unread, until a checkpoint that
// covers them is read; the entries after it are then folded on top. A gap doesn't
// close by time alone: a claim that was rejected because of an unread one seems
// accepted here, and verdicts on its key stay wrong for as long as the key is used.
type gap struct {
	oldest infra.Offset
	// since is the log's time of the first entry read after the gap.
	since       time.Time
	tail        []event
	checkpoints map[AttemptID]*partialCheckpoint
	order       []AttemptID
}

// partialCheckpoint collects the parts of one checkpoint.
type partialCheckpoint struct {
	upTo  journal.Position
	now   int64
	parts map[uint32][]byte
}

func newGap(oldest infra.Offset) *gap {
	return &gap{oldest: oldest, checkpoints: map[AttemptID]*partialCheckpoint{}}
}

func (g *gap) started() bool { return !g.since.IsZero() }

// appendTail keeps an entry until the gap is closed, without the response that
// an outcome holds.
func (l *Ledger) appendTail(e event) {
	if l.gap == nil {
		return
	}
	if len(l.gap.tail) >= maxTail {
		// Too many entries: treat all up to here as expired.
		l.Trimmed(e.position.Offset + 1)
	}
	g := l.gap
	if !g.started() {
		g.since = e.at
	}
	if m, ok := e.message.(*outcome); ok {
		e.message = &outcome{Key: m.Key, Attempt: m.Attempt, Digest: m.Digest, Status: m.Status}
	}
	g.tail = append(g.tail, e)
}

// applyCheckpoint folds a part of a checkpoint. A ledger without a gap only notes
// its time.
func (l *Ledger) applyCheckpoint(e event, c *checkpoint) {
	e.message = nil
	l.appendTail(e)
	l.apply(e)
	if l.checkpoints.note(c) {
		l.checkpoints.last, l.checkpoints.lastRead = e.at, e.readAt
	}
	if l.gap == nil || c.UpTo.Offset+1 < l.gap.oldest {
		return
	}
	if complete := l.gap.add(c); complete != nil {
		l.closeGap(complete)
	}
}

// add adds a part and returns its checkpoint if that is complete.
func (g *gap) add(c *checkpoint) *partialCheckpoint {
	p, ok := g.checkpoints[c.Set]
	if !ok {
		p = &partialCheckpoint{upTo: c.UpTo, now: c.NowMillis, parts: map[uint32][]byte{}}
		g.checkpoints[c.Set] = p
		g.order = append(g.order, c.Set)
		if len(g.order) > maxPartialCheckpoints {
			delete(g.checkpoints, g.order[0])
			g.order = g.order[1:]
		}
	}
	p.parts[c.Part] = c.Rows
	if c.Parts == 0 || len(p.parts) < int(c.Parts) {
		return nil
	}
	return p
}

// closeGap rebuilds the ledger from a checkpoint and the entries after it. Entries
// that the checkpoint covers are skipped: they are in its rows. The responses
// read so far are kept, as rows have none.
func (l *Ledger) closeGap(complete *partialCheckpoint) {
	now, tail, responses := l.now, l.gap.tail, l.responses
	l.clear()
	l.gap = nil
	l.responses = responses
	l.now = time.UnixMilli(complete.now)
	for _, part := range complete.parts {
		l.loadRows(part)
	}
	for _, e := range tail {
		if complete.upTo.Less(e.position) {
			l.apply(e)
		}
	}
	l.advance(now)
}

// loadRows adds the rows of one part to the ledger.
func (l *Ledger) loadRows(part []byte) {
	for len(part) > 0 {
		var r checkpointRow
		var err error
		if part, err = codec.Next(part, &r); err != nil {
			l.corrupt++
			return
		}
		if r.Phase == phaseRetired {
			l.keys.retire(r.Bucket, r.Attempt)
			continue
		}
		l.keys.put(r.Bucket, r.Key, row{digest: r.Digest, status: r.Status, phase: r.Phase})
		if r.Phase == phaseClaimed {
			l.holders[r.Key] = holder{attempt: r.Attempt, writer: r.Writer}
		}
	}
}

// rows calls f for each row of a checkpoint of the ledger. The row is valid only
// during the call.
func (l *Ledger) rows(f func(*checkpointRow)) {
	for index, b := range l.keys.byTime {
		for key, r := range b.rows {
			c := checkpointRow{Bucket: index, Phase: r.phase, Key: key, Digest: r.digest, Status: r.status}
			if r.phase == phaseClaimed {
				h := l.holders[key]
				c.Attempt, c.Writer = h.attempt, h.writer
			}
			f(&c)
		}
		for a := range b.retired {
			f(&checkpointRow{Bucket: index, Phase: phaseRetired, Attempt: a})
		}
	}
}

func encodeRow(r *checkpointRow) []byte {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseCompactInts(true)
	if err := enc.Encode(r); err != nil {
		panic(err) // rows always encode
	}
	return b.Bytes()
}

// checkpoint returns the entries of a new checkpoint. The journal must have
// applied all entries up to applied before the call.
func (l *Ledger) checkpoint(applied journal.Position) []journal.Entry {
	// No entry between the ledger's last one and applied is a claim entry.
	upTo := applied
	if upTo.Less(l.position) {
		upTo = l.position
	}
	var parts [][]byte
	var part bytes.Buffer
	l.rows(func(r *checkpointRow) {
		part.Write(encodeRow(r))
		if part.Len() >= checkpointPartBytes {
			parts = append(parts, bytes.Clone(part.Bytes()))
			part.Reset()
		}
	})
	if part.Len() > 0 || len(parts) == 0 {
		parts = append(parts, part.Bytes())
	}
	return checkpointEntries(upTo, l.now, parts)
}

// acceptGap returns an empty checkpoint up to the oldest retained record, which
// says that nothing was claimed before it.
func (l *Ledger) acceptGap() []journal.Entry {
	before := journal.Position{Offset: l.gap.oldest - 1, Index: math.MaxUint16}
	return checkpointEntries(before, time.Time{}, [][]byte{nil})
}

// checkpointEntries returns the entries of a checkpoint, one for each part. set
// identifies the checkpoint: readers collect the parts that have the same one.
func checkpointEntries(upTo journal.Position, now time.Time, parts [][]byte) []journal.Entry {
	set := newAttempt()
	entries := make([]journal.Entry, len(parts))
	for i, rows := range parts {
		c := checkpoint{
			Set:       set,
			Part:      uint32(i),
			Parts:     uint32(len(parts)),
			UpTo:      upTo,
			NowMillis: now.UnixMilli(),
			Rows:      rows,
		}
		entries[i] = encodeEntry(typeCheckpoint, set, "k"+strconv.Itoa(i), &c)
	}
	return entries
}

// checkpointTracker notes when a complete checkpoint was last read.
type checkpointTracker struct {
	// parts counts the parts read of each checkpoint, by checkpoint.Set.
	parts map[AttemptID]uint32
	// last is the log's time of that checkpoint's last part, lastRead the
	// reader's.
	last, lastRead time.Time
}

// note counts a part and reports whether its checkpoint is complete.
func (t *checkpointTracker) note(c *checkpoint) bool {
	if t.parts == nil || len(t.parts) >= maxPartialCheckpoints {
		t.parts = map[AttemptID]uint32{}
	}
	t.parts[c.Set]++
	return t.parts[c.Set] == c.Parts
}
