package membership

import (
	"slices"
	"sort"
	"time"

	"tamarackchute/infra"
)

// Outgoing is a message to send to an instance.
type Outgoing struct {
	To      string
	Message Message
}

// Machine is the membership state machine of one instance. It does no I/O and
// reads no clock. It isn't safe for concurrent use.
type Machine struct {
	cfg     Config
	started time.Time
	// members holds every instance, ordered by data centre and name; local holds
	// the other instances of self's data centre.
	members []*member
	index   *memberIndex
	self    *member
	local   []*member
	// remote holds the other data centres, ordered by name.
	remote       []*remoteDC
	listReceived bool
	leaving      bool

	heartbeatSeq, summarySeq   uint64
	nextHeartbeat, nextSummary time.Time
	view                       *View
}

// remoteDC is what a Machine knows about another data centre.
type remoteDC struct {
	name    string
	members []*member
	summaries
	// receiverIndex is the index of the member that summaries are sent to.
	receiverIndex int
}

// New returns the Machine of an instance that starts now.
func New(cfg Config, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{cfg: cfg, started: now, nextHeartbeat: now, nextSummary: now}
	for _, p := range cfg.Peers {
		// Until the list has been received, every instance of the settings may run.
		mem := &member{Peer: p, listed: true}
		m.members = append(m.members, mem)
	}
	sort.Slice(m.members, func(i, j int) bool {
		a, b := m.members[i], m.members[j]
		if a.DataCentre != b.DataCentre {
			return a.DataCentre < b.DataCentre
		}
		return a.Name < b.Name
	})
	m.buildIndex()
	m.self = m.member(cfg.Self.Name)
	if m.self == nil {
		panic("membership: Self isn't one of Peers")
	}
	m.self.incarnation = cfg.Incarnation
	m.groupMembers()
	m.updateView(now)
	return m
}

func (m *Machine) buildIndex() {
	index := &memberIndex{
		nearest: m.cfg.Nearest,
		byName:  map[string]int{},
		first:   map[string]int{},
		end:     map[string]int{},
	}
	for i, mem := range m.members {
		index.byName[mem.Name] = i
		if _, ok := index.first[mem.DataCentre]; !ok {
			index.first[mem.DataCentre] = i
		}
		index.end[mem.DataCentre] = i + 1
	}
	m.index = index
}

// member returns the instance with the given name, or nil.
func (m *Machine) member(name string) *member {
	i, ok := m.index.byName[name]
	if !ok {
		return nil
	}
	return m.members[i]
}

func (m *Machine) groupMembers() {
	for _, mem := range m.members {
		switch {
		case mem == m.self:
		case mem.DataCentre == m.self.DataCentre:
			m.local = append(m.local, mem)
		default:
			dc := m.remoteDataCentre(mem.DataCentre)
			if dc == nil {
				dc = &remoteDC{name: mem.DataCentre}
				m.remote = append(m.remote, dc)
			}
			dc.members = append(dc.members, mem)
		}
	}
}

func (m *Machine) remoteDataCentre(dataCentre string) *remoteDC {
	for _, dc := range m.remote {
		if dc.name == dataCentre {
			return dc
		}
	}
	return nil
}

// View returns the view as of the last call of another method.
func (m *Machine) View() *View { return m.view }

// Tick advances the time. It should be called several times per
// HeartbeatInterval.
func (m *Machine) Tick(now time.Time) []Outgoing {
	for _, dc := range m.remote {
		dc.prune(now, m.cfg.SummaryTTL)
	}
	m.updateView(now)
	var out []Outgoing
	if !now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = now.Add(m.cfg.HeartbeatInterval)
		out = m.heartbeats(now)
	}
	if !now.Before(m.nextSummary) {
		m.nextSummary = now.Add(m.cfg.SummaryInterval)
		out = append(out, m.sendSummaries()...)
	}
	return out
}

// Leave marks this instance as shutting down. The returned messages announce that
// to the others at once.
func (m *Machine) Leave(now time.Time) []Outgoing {
	m.leaving = true
	m.updateView(now)
	return append(m.heartbeats(now), m.sendSummaries()...)
}

// ApplyList applies the platform's list; rows of other kinds are skipped.
func (m *Machine) ApplyList(rows []infra.Instance, now time.Time) {
	m.listReceived = true
	byName := make(map[string]infra.Instance, len(rows))
	for _, r := range rows {
		if r.Kind == infra.KindEntry {
			byName[r.Name] = r
		}
	}
	for _, mem := range m.members {
		row, listed := byName[mem.Name]
		mem.updateListing(listed, row.Terminating, now)
	}
	m.updateView(now)
}

// ReceiveHeartbeat applies a heartbeat of an instance of this data centre. One of an
// earlier incarnation is ignored: it arrives late from a process that has been
// replaced.
func (m *Machine) ReceiveHeartbeat(h Heartbeat, now time.Time) {
	// If this instance replaced a process with a higher incarnation, because the
	// clock was set back, the others ignore its heartbeats and report the incarnation
	// that they know. It then continues with a higher one.
	for _, s := range h.Silent {
		if s.Name == m.self.Name && s.Incarnation > m.self.incarnation {
			m.self.incarnation = s.Incarnation + 1
		}
	}
	mem := m.member(h.From)
	if mem == nil || mem == m.self || mem.DataCentre != m.self.DataCentre || len(h.Silent) > maxSilentPeers {
		return
	}
	before := m.evaluate(mem, now)
	if mem.acceptHeartbeat(h, now) && m.evaluate(mem, now) != before {
		m.updateView(now)
	}
}

// ReceiveSummary applies a summary of another data centre. If the summary came
// directly from there, it is relayed to the other instances of this data centre.
func (m *Machine) ReceiveSummary(s Summary, now time.Time) []Outgoing {
	dc := m.remoteDataCentre(s.DataCentre)
	if dc == nil || !dc.hasMember(s.From) || len(s.Members) > len(dc.members) || len(s.ReceivesFrom) > len(m.remote) {
		return nil
	}
	if !dc.add(s, now) {
		return nil
	}
	m.updateView(now)
	if s.Relayed {
		return nil
	}
	s.Relayed = true
	var out []Outgoing
	for _, mem := range m.local {
		if m.localState(mem, now) != Gone {
			out = append(out, Outgoing{mem.Name, s})
		}
	}
	return out
}

func (dc *remoteDC) hasMember(name string) bool {
	return slices.ContainsFunc(dc.members, func(m *member) bool { return m.Name == name })
}
