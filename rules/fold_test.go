package rules

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// logRecord is a record of the model's log, with one entry.
type logRecord struct {
	id   string
	body []byte
}

// modelReader is a process that folds the model's log, possibly with gaps.
type modelReader struct {
	replica *Replica
	next    infra.Offset
	seen    map[string]bool
	highest Version
}

// foldMachine is a state machine test: several readers fold one log that is trimmed
// and gets late checkpoints and copies. They are compared with a reader that misses
// nothing.
type foldMachine struct {
	log     []logRecord // log[i] has offset i+1
	oldest  infra.Offset
	truth   *modelReader
	states  []Version // the truth's version after each offset
	readers []*modelReader
	// late holds entries that were sent but aren't in the log yet.
	late []logRecord
	ids  int
}

func newModelReader() *modelReader {
	return &modelReader{replica: NewReplica(ReplicaOptions{}), next: 1, seen: map[string]bool{}}
}

func (m *foldMachine) append(r logRecord) {
	m.log = append(m.log, r)
	m.truth.read(m, len(m.log))
	m.states = append(m.states, m.truth.replica.fold.state.Version)
}

// read folds up to n records, as the journal's reader does.
func (r *modelReader) read(m *foldMachine, n int) {
	if r.next < m.oldest {
		r.replica.Trimmed(m.oldest)
		r.next = m.oldest
	}
	for ; n > 0 && int(r.next) <= len(m.log); n-- {
		record := m.log[r.next-1]
		if !r.seen[record.id] {
			r.seen[record.id] = true
			r.replica.Apply(journal.LogEntry{
				Position: journal.Position{Offset: r.next},
				Entry:    journal.Entry{Kind: journal.KindRules, ID: record.id, Body: record.body},
			})
		}
		r.next++
	}
}

func (r *modelReader) applied() journal.Position { return journal.Position{Offset: r.next - 1} }

func (m *foldMachine) newID() string {
	m.ids++
	return fmt.Sprint("id", m.ids)
}

func (m *foldMachine) pick(t *rapid.T) *modelReader {
	return rapid.SampledFrom(m.readers).Draw(t, "reader")
}

// send appends an entry now, later or both.
func (m *foldMachine) send(t *rapid.T, body []byte) {
	r := logRecord{id: m.newID(), body: body}
	if rapid.Bool().Draw(t, "late") {
		m.late = append(m.late, r)
		return
	}
	m.append(r)
	if rapid.Bool().Draw(t, "again") {
		m.late = append(m.late, r)
	}
}

func (m *foldMachine) publish(t *rapid.T) {
	p := Publication{
		Base:     m.pick(t).replica.fold.state.Version,
		Through:  m.pick(t).applied().Offset,
		Force:    rapid.IntRange(0, 5).Draw(t, "force") == 0,
		Document: document(rule("r", fmt.Sprintf("load > %d", m.ids), toAgronomy)),
	}
	m.send(t, encodePublication(p))
}

func (m *foldMachine) checkpoint(t *rapid.T) {
	r := m.pick(t)
	if r.replica.view().settled {
		m.send(t, encodeCheckpoint(r.replica.checkpoint(r.applied())))
	}
}

func (m *foldMachine) arrive(t *rapid.T) {
	if len(m.late) > 0 {
		i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late entry")
		m.append(m.late[i])
		m.late = append(m.late[:i], m.late[i+1:]...)
	}
}

func (m *foldMachine) trim(t *rapid.T) {
	m.oldest += infra.Offset(rapid.IntRange(0, len(m.log)+1-int(m.oldest)).Draw(t, "trim"))
}

func (m *foldMachine) readSome(t *rapid.T) {
	m.pick(t).read(m, rapid.IntRange(1, 6).Draw(t, "records"))
}

func (m *foldMachine) offer(t *rapid.T) {
	giver := m.pick(t)
	m.pick(t).replica.ApplyPeerState(giver.replica.PeerState(giver.applied()))
}

// check compares each reader with the truth at the reader's position.
func (m *foldMachine) check(t *rapid.T) {
	for _, r := range m.readers {
		f := &r.replica.fold
		at := int(max(f.through.Offset, r.next-1))
		if f.settled && at > 0 {
			require.Equal(t, m.states[at-1], f.state.Version, "a settled reader has another version at %d", at)
		}
		if s := r.replica.current.Load(); s != nil {
			version := s.state.Version // not yet compiled, which takes time
			require.False(t, version.Less(r.highest), "the rules in force went back")
			r.highest = version
			require.True(t, version.IsZero() || slices.Contains(m.states, version), "in force, never accepted")
		}
		for _, v := range r.replica.History() {
			truth, _ := m.truth.replica.Verdict(v.ID)
			require.True(t, v.Outcome == OutcomeUnknown || v.Outcome == truth.Outcome,
				"%s: %s here, %s in truth", v.ID, v.Outcome, truth.Outcome)
		}
		require.Zero(t, r.replica.faults, "a reader counted a fault")
	}
}

// Guards against instances with different rules in force: a reader decides on a
// publication without knowing the version in force at its position. Instances read
// the log from different offsets, records expire unread, checkpoints and copies of
// entries arrive late, and peers exchange states.
func TestReadersAgreeFromAnyOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &foldMachine{oldest: 1, truth: newModelReader()}
		m.readers = []*modelReader{m.truth, newModelReader(), newModelReader(), newModelReader()}
		restart := func(t *rapid.T) {
			if r := m.pick(t); r != m.truth {
				*r = *newModelReader()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish, "publish again": m.publish, "checkpoint": m.checkpoint, "arrive": m.arrive,
			"trim": m.trim, "read": m.readSome, "read more": m.readSome, "offer": m.offer, "restart": restart,
			"": m.check,
		})
		// Once a settled process has written a checkpoint and all have read it, all
		// must be settled.
		for range 2 {
			m.append(logRecord{id: m.newID(), body: encodeCheckpoint(m.truth.replica.checkpoint(m.truth.applied()))})
			for _, r := range m.readers {
				r.read(m, len(m.log))
			}
		}
		m.check(t)
		for _, r := range m.readers {
			require.True(t, r.replica.view().settled)
			require.Equal(t, m.truth.replica.current.Load().state, r.replica.current.Load().state)
		}
	})
}

// Guards against a stale checkpoint that brings old rules back. An instance encodes
// a checkpoint and is paused; a new version is accepted; then the checkpoint
// arrives. The newest record must not win regardless of its version.
func TestStaleCheckpointIsIgnored(t *testing.T) {
	m := &foldMachine{oldest: 1, truth: newModelReader()}
	first := Publication{Document: document(rule("a", "stream", toAgronomy))}
	m.append(logRecord{id: "1", body: encodePublication(first)})
	stale := encodeCheckpoint(m.truth.replica.checkpoint(m.truth.applied()))
	second := Publication{Base: Version{Offset: 1}, Document: document(rule("b", "stream", toAgronomy))}
	m.append(logRecord{id: "2", body: encodePublication(second)})
	m.append(logRecord{id: "3", body: stale})
	require.Equal(t, Version{Offset: 2}, m.truth.replica.Current().Version)

	// To a reader whose log begins after the first version, the checkpoint is only
	// a lower bound; it waits for one that covers its gap.
	m.oldest = 2
	late := newModelReader()
	late.read(m, 3)
	require.False(t, late.replica.Status().Settled)
	require.Equal(t, Version{Offset: 1}, late.replica.Current().Version)
	m.append(logRecord{id: "4", body: encodeCheckpoint(m.truth.replica.checkpoint(m.truth.applied()))})
	late.read(m, 1)
	require.Equal(t, Version{Offset: 2}, late.replica.Current().Version)
}

// During an upgrade, rules that the new release accepts may not compile in the old
// one. The old release must keep the previous rules, report the problem, and use the
// next version that compiles.
func TestUncompiledVersionKeepsFormerRules(t *testing.T) {
	m := &foldMachine{oldest: 1, truth: newModelReader()}
	b := m.truth.replica
	publish := func(when string) {
		p := Publication{Base: b.Status().Accepted, Document: document(rule("a", when, toAgronomy))}
		m.append(logRecord{id: m.newID(), body: encodePublication(p)})
	}
	publish("stream")
	publish("new_field > 1")
	require.Equal(t, Version{Offset: 1}, b.Current().Version)
	require.Equal(t, Version{Offset: 2}, b.Status().Accepted)
	require.Contains(t, b.Status().Problem, "unknown name new_field")
	publish("load > 1")
	require.Equal(t, Version{Offset: 3}, b.Current().Version)
	b.Apply(journal.LogEntry{Position: journal.Position{Offset: 4}, ReadAt: time.Now(), Entry: journal.Entry{Body: []byte{1}}})
	require.Equal(t, 1, b.Status().Faults.Undecodable)
	require.Equal(t, Version{Offset: 3}, b.Current().Version)
}
