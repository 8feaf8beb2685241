package membership

import "time"

// refresh works out the view anew, and keeps the former one if nothing changed.
func (m *Machine) refresh(now time.Time) {
	members := make([]MemberView, 0, len(m.members))
	for _, mem := range m.members {
		members = append(members, m.believe(mem, now))
	}
	if m.view != nil && equal(m.view.Members, members) {
		return
	}
	version := uint64(1)
	if m.view != nil {
		version = m.view.Version + 1
	}
	m.view = &View{Version: version, Members: members, places: m.places}
}

func equal(a, b []MemberView) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return len(a) == len(b)
}

func (m *Machine) believe(mem *member, now time.Time) MemberView {
	v := MemberView{Peer: mem.Peer, Incarnation: mem.incarnation}
	switch {
	case mem == m.self:
		v.State = m.believeSelf()
	case mem.DataCentre == m.self.DataCentre:
		v.State = m.believeLocal(mem, now)
	default:
		v.State, v.Incarnation = m.believeRemote(mem)
	}
	return v
}

func (m *Machine) believeSelf() State {
	if m.leaving || m.self.withdrawn() {
		return Leaving
	}
	return Live
}

// believeLocal judges by heartbeats. An instance of which there is none counts
// from the machine's own start.
func (m *Machine) believeLocal(mem *member, now time.Time) State {
	if mem.dropped() {
		return Gone
	}
	since := mem.heard
	if since.IsZero() {
		since = m.started
	}
	silence := now.Sub(since)
	if silence >= m.cfg.GoneAfter && !m.vouched(mem, now) {
		return Gone
	}
	if mem.leaving || mem.withdrawn() {
		return Leaving
	}
	if mem.silent(now, m.cfg.SuspectAfter) {
		return Suspected
	}
	return Live
}

// vouched tells whether another instance of the data centre hears one that is
// silent to this one: the way between the two is broken, not the instance.
func (m *Machine) vouched(mem *member, now time.Time) bool {
	for _, other := range m.local {
		if other != mem && !other.silent(now, m.cfg.SuspectAfter) && other.hears(mem) {
			return true
		}
	}
	return false
}

// believeRemote judges by recent summaries, and without one by the platform's
// list alone: then the data centre may be cut off, so nobody there counts as
// live.
func (m *Machine) believeRemote(mem *member) (State, uint64) {
	dc := m.other(mem.DataCentre)
	told, ok := dc.believed(mem.Name)
	if ok {
		mem.incarnation = max(mem.incarnation, told.Incarnation)
		if told.State == Live && mem.withdrawn() {
			return Leaving, mem.incarnation
		}
		return told.State, mem.incarnation
	}
	switch {
	case !mem.listed:
		return Gone, mem.incarnation
	case mem.withdrawn():
		return Leaving, mem.incarnation
	default:
		return Suspected, mem.incarnation
	}
}
