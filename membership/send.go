package membership

import "time"

// heartbeats returns one heartbeat for each other instance of the data centre,
// including the silent ones: those may run and be unable to reach this instance.
func (m *Machine) heartbeats(now time.Time) []Outgoing {
	m.heartbeatSeq++
	h := Heartbeat{
		From:        m.self.Name,
		Incarnation: m.self.incarnation,
		Seq:         m.heartbeatSeq,
		Leaving:     m.leaving,
	}
	for _, mem := range m.local {
		if !mem.silentFor(now, m.cfg.SuspectAfter) {
			continue
		}
		if len(h.Silent) == maxSilentPeers {
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
// is the summary sender of its data centre.
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
		out = append(out, Outgoing{dc.summaryReceiver(m.self.DataCentre), s})
	}
	return out
}

// sender returns the instance that sends the data centre's summaries: the first
// live one by name, or else the first that is leaving. For some seconds two
// instances may consider themselves the sender, or none; receivers tolerate both.
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

// summaryReceiver returns the instance to which the summaries of the data centre
// from are sent. It changes only if that instance is no longer running or if the
// remote data centre doesn't confirm that summaries arrive.
func (dc *remoteDC) summaryReceiver(from string) string {
	if !dc.receivesFrom(from) {
		// Trying the next instance with each summary reconnects two data centres
		// after both their senders were replaced at once, and avoids a broken link
		// between two instances.
		dc.receiverIndex = (dc.receiverIndex + 1) % len(dc.members)
	} else if !dc.isRunning(dc.receiverIndex) {
		dc.receiverIndex = dc.firstRunning(dc.receiverIndex)
	}
	return dc.members[dc.receiverIndex].Name
}

// isRunning reports whether a member is live or leaving; a leaving member may be
// the last one of its data centre.
func (dc *remoteDC) isRunning(i int) bool {
	reported, _ := dc.merged(dc.members[i].Name)
	return reported.State == Live || reported.State == Leaving
}

func (dc *remoteDC) firstRunning(fallback int) int {
	for i := range dc.members {
		if dc.isRunning(i) {
			return i
		}
	}
	return fallback
}
