package membership

import "time"

// heartbeats returns one for each other instance of the data centre, also for
// those that are silent: they may only be silent to this one.
func (m *Machine) heartbeats(now time.Time) []Outgoing {
	m.beatSeq++
	h := Heartbeat{
		From:        m.self.Name,
		Incarnation: m.self.incarnation,
		Seq:         m.beatSeq,
		Leaving:     m.leaving,
	}
	for _, mem := range m.local {
		if !mem.silent(now, m.cfg.SuspectAfter) {
			continue
		}
		if len(h.Silent) == maxUnheard {
			h.Truncated = true
			break
		}
		h.Silent = append(h.Silent, SilentPeer{mem.Name, mem.incarnation})
	}
	out := make([]Outgoing, 0, len(m.local))
	for _, mem := range m.local {
		out = append(out, Outgoing{mem.Name, h})
	}
	return out
}

// sendSummaries returns one summary for each other data centre if this instance
// is the sender of its own.
func (m *Machine) sendSummaries() []Outgoing {
	if m.sender() != m.self {
		return nil
	}
	m.summarySeq++
	s := Summary{
		DataCentre:  m.self.DataCentre,
		From:        m.self.Name,
		Incarnation: m.self.incarnation,
		Seq:         m.summarySeq,
	}
	for _, v := range m.view.Members {
		if v.DataCentre == s.DataCentre {
			s.Members = append(s.Members, Member{v.Name, v.Incarnation, v.State})
		}
	}
	for _, dc := range m.remote {
		if len(dc.bySender) > 0 {
			s.ReceivesFrom = append(s.ReceivesFrom, dc.name)
		}
	}
	out := make([]Outgoing, 0, len(m.remote))
	for _, dc := range m.remote {
		out = append(out, Outgoing{dc.receiver(m.self.DataCentre), s})
	}
	return out
}

// sender is the instance that sends the data centre's summaries: the first live
// one by name, else the first that is leaving. Two may both believe that they
// are it, or for some seconds none; receivers cope with both.
func (m *Machine) sender() *member {
	for _, want := range []State{Live, Leaving} {
		for _, v := range m.view.Members {
			if v.DataCentre == m.self.DataCentre && v.State == want {
				return m.member(v.Name)
			}
		}
	}
	panic("membership: this instance is neither live nor leaving")
}

// receiver names the instance that takes summaries of the data centre from. It
// is the same one as long as the other side says that summaries arrive and that
// the instance runs. Without that, each summary goes to the next in turn: this is
// what gets two data centres back together after both their senders were
// replaced at once, and past one broken way between two instances.
func (dc *otherDataCentre) receiver(from string) string {
	if !dc.hears(from) {
		dc.turn = (dc.turn + 1) % len(dc.members)
	} else if !dc.runs(dc.turn) {
		dc.turn = dc.firstRunning(dc.turn)
	}
	return dc.members[dc.turn].Name
}

// runs tells whether a member is believed live or leaving; one that is leaving
// may be the last.
func (dc *otherDataCentre) runs(i int) bool {
	told, _ := dc.believed(dc.members[i].Name)
	return told.State == Live || told.State == Leaving
}

func (dc *otherDataCentre) firstRunning(otherwise int) int {
	for i := range dc.members {
		if dc.runs(i) {
			return i
		}
	}
	return otherwise
}
