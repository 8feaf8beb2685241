package membership

import (
	"maps"
	"slices"
	"time"
)

// summaries holds the last summary of each sender of one remote data centre. While
// the sender changes, two may send at once with different views.
type summaries struct {
	bySender map[string]receivedSummary
}

type receivedSummary struct {
	summary Summary
	at      time.Time
	members map[string]Member
}

// add stores a summary and reports whether it is newer than the sender's last one.
func (ss *summaries) add(s Summary, now time.Time) bool {
	old, ok := ss.bySender[s.From]
	if ok && (s.Incarnation < old.summary.Incarnation ||
		(s.Incarnation == old.summary.Incarnation && s.Seq <= old.summary.Seq)) {
		return false
	}
	if ss.bySender == nil {
		ss.bySender = map[string]receivedSummary{}
	}
	ss.bySender[s.From] = receivedSummary{summary: s, at: now, members: byName(s.Members)}
	if len(ss.bySender) > maxSenders {
		ss.dropOldest()
	}
	return true
}

func byName(members []Member) map[string]Member {
	m := make(map[string]Member, len(members))
	for _, mem := range members {
		m[mem.Name] = mem
	}
	return m
}

func (ss *summaries) dropOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(ss.bySender)), func(a, b string) int {
		return ss.bySender[a].at.Compare(ss.bySender[b].at)
	})
	delete(ss.bySender, oldest)
}

func (ss *summaries) prune(now time.Time, ttl time.Duration) {
	maps.DeleteFunc(ss.bySender, func(_ string, r receivedSummary) bool { return now.Sub(r.at) >= ttl })
}

// merged returns an instance's entry merged from all summaries. The highest
// incarnation wins, and within it the highest State: leaving before live before
// suspected before gone. A sender may be unable to reach an instance that others
// reach, so a report that it runs outweighs a report that it is silent.
func (ss *summaries) merged(name string) (Member, bool) {
	var best Member
	found := false
	for _, r := range ss.bySender {
		m, ok := r.members[name]
		if !ok {
			continue
		}
		better := m.Incarnation > best.Incarnation ||
			(m.Incarnation == best.Incarnation && m.State > best.State)
		if !found || better {
			best, found = m, true
		}
	}
	return best, found
}

// receivesFrom reports whether a sender of the remote data centre has recent
// summaries of the given one.
func (ss *summaries) receivesFrom(dataCentre string) bool {
	for _, r := range ss.bySender {
		if slices.Contains(r.summary.ReceivesFrom, dataCentre) {
			return true
		}
	}
	return false
}
