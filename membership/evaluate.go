package membership

import "time"

// updateView recomputes the view. It keeps the previous one if nothing changed.
func (m *Machine) updateView(now time.Time) {
	members := make([]MemberView, 0, len(m.members))
	for _, mem := range m.members {
		members = append(members, m.evaluate(mem, now))
	}
	if m.view != nil && equal(m.view.Members, members) {
		return
	}
	version := uint64(1)
	if m.view != nil {
		version = m.view.Version + 1
	}
	m.view = &View{Version: version, Members: members, index: m.index}
}

func equal(a, b []MemberView) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return len(a) == len(b)
}

func (m *Machine) evaluate(mem *member, now time.Time) MemberView {
	v := MemberView{Peer: mem.Peer, Incarnation: mem.incarnation}
	switch {
	case mem == m.self:
		v.State = m.selfState()
	case mem.DataCentre == m.self.DataCentre:
		v.State = m.localState(mem, now)
	default:
		v.State, v.Incarnation = m.remoteState(mem)
	}
	return v
}

func (m *Machine) selfState() State {
	if m.leaving || m.self.terminating() {
		return Leaving
	}
	return Live
}

// localState evaluates heartbeats. The silence of an instance that has sent none
// is measured from this Machine's start.
func (m *Machine) localState(mem *member, now time.Time) State {
	if mem.delisted() {
		return Gone
	}
	since := mem.lastReceived
	if since.IsZero() {
		since = m.started
	}
	silence := now.Sub(since)
	if silence >= m.cfg.GoneAfter && !m.vouchedFor(mem, now) {
		return Gone
	}
	if mem.leaving || mem.terminating() {
		return Leaving
	}
	if mem.silentFor(now, m.cfg.SuspectAfter) {
		return Suspected
	}
	return Live
}

// vouchedFor reports whether another instance of the data centre receives the
// heartbeats of an instance that is silent to this one: then the link between the
// two is broken, not the instance.
func (m *Machine) vouchedFor(mem *member, now time.Time) bool {
	for _, other := range m.local {
		if other != mem && !other.silentFor(now, m.cfg.SuspectAfter) && other.vouchesFor(mem) {
			return true
		}
	}
	return false
}

// remoteState evaluates recent summaries. Without one it uses the platform's list
// alone and reports no instance as live, since the data centre may be unreachable.
func (m *Machine) remoteState(mem *member) (State, uint64) {
	dc := m.remoteDataCentre(mem.DataCentre)
	reported, ok := dc.merged(mem.Name)
	if ok {
		mem.incarnation = max(mem.incarnation, reported.Incarnation)
		if reported.State == Live && mem.terminating() {
			return Leaving, mem.incarnation
		}
		return reported.State, mem.incarnation
	}
	switch {
	case !mem.listed:
		return Gone, mem.incarnation
	case mem.terminating():
		return Leaving, mem.incarnation
	default:
		return Suspected, mem.incarnation
	}
}
