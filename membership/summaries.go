package membership

import (
	"maps"
	"slices"
	"time"
)

// summaries keeps the last summary of each sender of one other data centre. In
// a changeover two may send at once, with views that differ.
type summaries struct {
	bySender map[string]received
}

type received struct {
	summary Summary
	at      time.Time
	members map[string]Member
}

// add takes a summary and reports whether it was newer than what was there.
func (ss *summaries) add(s Summary, now time.Time) bool {
	old, ok := ss.bySender[s.From]
	if ok && (s.Incarnation < old.summary.Incarnation ||
		(s.Incarnation == old.summary.Incarnation && s.Seq <= old.summary.Seq)) {
		return false
	}
	if ss.bySender == nil {
		ss.bySender = map[string]received{}
	}
	ss.bySender[s.From] = received{summary: s, at: now, members: byName(s.Members)}
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

func (ss *summaries) prune(now time.Time, fresh time.Duration) {
	maps.DeleteFunc(ss.bySender, func(_ string, r received) bool { return now.Sub(r.at) >= fresh })
}

// believed merges what the senders say about an instance: a higher incarnation
// wins; within one, whoever says that it leaves, else whoever hears it. A sender
// may be cut off from an instance that others reach, so hearing outweighs
// silence.
func (ss *summaries) believed(name string) (Member, bool) {
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

// hears tells whether some sender has recent summaries of a data centre.
func (ss *summaries) hears(dataCentre string) bool {
	for _, r := range ss.bySender {
		if slices.Contains(r.summary.ReceivesFrom, dataCentre) {
			return true
		}
	}
	return false
}
