package audit

import (
	"log/slog"
	"strings"
	"sync"

	"tamarackchute/internal/codec"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
	"tamarackchute/rules"
)

// defaultCapacity is the number of records that a trail keeps by default.
const defaultCapacity = 1000

// Trail keeps the latest records. It implements journal.StateMachine; register it for
// journal.KindAudit. It is safe for concurrent use.
type Trail struct {
	logger *slog.Logger

	mu sync.Mutex
	// ring holds the records; oldest is the index of the one to overwrite next.
	ring   []Record
	oldest int
}

var _ journal.StateMachine = (*Trail)(nil)

// NewTrail returns a trail of the latest records, 1,000 if capacity isn't positive.
func NewTrail(capacity int, logger *slog.Logger) *Trail {
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	if logger == nil {
		logger = slog.Default()
	}
	return &Trail{logger: logger, ring: make([]Record, 0, capacity)}
}

// Apply implements journal.StateMachine.
func (t *Trail) Apply(p journal.LogEntry) {
	var r Record
	if err := codec.Unmarshal(p.Entry.Body, &r); err != nil {
		t.logger.Error("audit record can't be decoded; ignored", "position", p.Position, "err", err)
		return
	}
	r.At = p.At
	t.Add(r)
}

// ObserveRules adds the verdict on a publication. Register it as the observer of a
// rules.Replica.
func (t *Trail) ObserveRules(v rules.Verdict) {
	r := Record{
		Who: v.Author, What: RulesUncertain, Target: "rules " + v.Version.String(), Reason: v.Note,
		From: v.Base.String(), At: v.At,
	}
	switch v.Outcome {
	case rules.OutcomeAccepted:
		r.What, r.From, r.To = RulesPublished, v.Former.String(), v.Version.String()
	case rules.OutcomeConflict:
		r.What, r.To = RulesConflict, v.Former.String()
	}
	t.Add(r)
}

// ObserveQuarantine adds the start of a quarantine. Register it as the observer of a
// quarantine.Guard.
func (t *Trail) ObserveQuarantine(e quarantine.Entered) {
	t.Add(Record{
		Who: programName(e.Writer), What: QuarantineEntered, Target: e.Digest.String(),
		Reason: "in flight at the crashes of " + strings.Join(e.Upstreams, ", "),
		From:   "suspected", To: "quarantined", At: e.At,
	})
}

// programName shortens a writer's name, instance/program/incarnation, to instance/program,
// as used in records.
func programName(writer string) string {
	instance, rest, _ := strings.Cut(writer, "/")
	name, _, _ := strings.Cut(rest, "/")
	return instance + "/" + name
}

// Add adds a record that doesn't come from the journal's audit entries.
func (t *Trail) Add(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, r)
		return
	}
	t.ring[t.oldest] = r
	t.oldest = (t.oldest + 1) % len(t.ring)
}

// Latest returns up to n records, newest first.
func (t *Trail) Latest(n int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	n = min(max(n, 0), len(t.ring))
	records := make([]Record, 0, n)
	for i := range n {
		index := (t.oldest + 2*len(t.ring) - 1 - i) % len(t.ring)
		records = append(records, t.ring[index])
	}
	return records
}
