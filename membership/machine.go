package membership

import (
	"slices"
	"sort"
	"time"

	"tamarackchute/infra"
)

// Outgoing is a message to be sent to an instance.
type Outgoing struct {
	To      string
	Message Message
}

// Machine is the state of one instance's membership. It does no I/O and reads
// no clock; one goroutine uses it.
type Machine struct {
	cfg     Config
	started time.Time
	// members holds every instance, in order of data centre and name; local
	// those of the machine's own data centre but itself.
	members []*member
	places  *places
	self    *member
	local   []*member
	// remote holds the other data centres in order of name.
	remote   []*otherDataCentre
	listRead bool
	leaving  bool

	beatSeq, summarySeq   uint64
	nextBeat, nextSummary time.Time
	view                  *View
}

// otherDataCentre is what a machine knows of another data centre.
type otherDataCentre struct {
	name    string
	members []*member
	summaries
	// turn is the index of the member that summaries are sent to.
	turn int
}

// New returns the machine of an instance that starts now.
func New(cfg Config, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{cfg: cfg, started: now, nextBeat: now, nextSummary: now}
	for _, p := range cfg.Peers {
		// Until the list has been read, everybody of the settings may run.
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
	m.place()
	m.self = m.member(cfg.Self.Name)
	if m.self == nil {
		panic("membership: Self isn't one of Peers")
	}
	m.self.incarnation = cfg.Incarnation
	m.group()
	m.refresh(now)
	return m
}

func (m *Machine) place() {
	p := &places{
		nearest:  m.cfg.Nearest,
		instance: map[string]int{},
		first:    map[string]int{},
		past:     map[string]int{},
	}
	for i, mem := range m.members {
		p.instance[mem.Name] = i
		if _, ok := p.first[mem.DataCentre]; !ok {
			p.first[mem.DataCentre] = i
		}
		p.past[mem.DataCentre] = i + 1
	}
	m.places = p
}

// member returns the instance of a name, or nil.
func (m *Machine) member(name string) *member {
	i, ok := m.places.instance[name]
	if !ok {
		return nil
	}
	return m.members[i]
}

func (m *Machine) group() {
	for _, mem := range m.members {
		switch {
		case mem == m.self:
		case mem.DataCentre == m.self.DataCentre:
			m.local = append(m.local, mem)
		default:
			dc := m.other(mem.DataCentre)
			if dc == nil {
				dc = &otherDataCentre{name: mem.DataCentre}
				m.remote = append(m.remote, dc)
			}
			dc.members = append(dc.members, mem)
		}
	}
}

func (m *Machine) other(dataCentre string) *otherDataCentre {
	for _, dc := range m.remote {
		if dc.name == dataCentre {
			return dc
		}
	}
	return nil
}

// View returns what is believed as of the last call.
func (m *Machine) View() *View { return m.view }

// Tick lets time pass. It should be called several times a Beat.
func (m *Machine) Tick(now time.Time) []Outgoing {
	for _, dc := range m.remote {
		dc.prune(now, m.cfg.SummaryTTL)
	}
	m.refresh(now)
	var out []Outgoing
	if !now.Before(m.nextBeat) {
		m.nextBeat = now.Add(m.cfg.HeartbeatInterval)
		out = m.heartbeats(now)
	}
	if !now.Before(m.nextSummary) {
		m.nextSummary = now.Add(m.cfg.SummaryInterval)
		out = append(out, m.sendSummaries()...)
	}
	return out
}

// Leave says that this instance has begun to stop. The messages tell the others
// at once.
func (m *Machine) Leave(now time.Time) []Outgoing {
	m.leaving = true
	m.refresh(now)
	return append(m.heartbeats(now), m.sendSummaries()...)
}

// ReadList takes the platform's list; rows of other kinds are skipped.
func (m *Machine) ApplyList(rows []infra.Instance, now time.Time) {
	m.listRead = true
	byName := make(map[string]infra.Instance, len(rows))
	for _, r := range rows {
		if r.Kind == infra.KindEntry {
			byName[r.Name] = r
		}
	}
	for _, mem := range m.members {
		row, listed := byName[mem.Name]
		mem.list(listed, row.Terminating, now)
	}
	m.refresh(now)
}

// ReceiveHeartbeat takes a heartbeat of an instance of this data centre.
//
// One of an earlier incarnation doesn't count: it comes late, from a process
// that has been replaced. Should the replacement have the lower number, since
// its clock was set back, then everybody tells it in Unheard which number they
// know, and it goes on with a higher one.
func (m *Machine) ReceiveHeartbeat(h Heartbeat, now time.Time) {
	for _, s := range h.Silent {
		if s.Name == m.self.Name && s.Incarnation > m.self.incarnation {
			m.self.incarnation = s.Incarnation + 1
		}
	}
	mem := m.member(h.From)
	if mem == nil || mem == m.self || mem.DataCentre != m.self.DataCentre || len(h.Silent) > maxUnheard {
		return
	}
	before := m.believe(mem, now)
	if mem.beat(h, now) && m.believe(mem, now) != before {
		m.refresh(now)
	}
}

// ReceiveSummary takes a summary of another data centre. One that came straight
// from there is handed on to everybody of this data centre.
func (m *Machine) ReceiveSummary(s Summary, now time.Time) []Outgoing {
	dc := m.other(s.DataCentre)
	if dc == nil || !dc.knows(s.From) || len(s.Members) > len(dc.members) || len(s.ReceivesFrom) > len(m.remote) {
		return nil
	}
	if !dc.add(s, now) {
		return nil
	}
	m.refresh(now)
	if s.Relayed {
		return nil
	}
	s.Relayed = true
	var out []Outgoing
	for _, mem := range m.local {
		if m.believeLocal(mem, now) != Gone {
			out = append(out, Outgoing{mem.Name, s})
		}
	}
	return out
}

func (dc *otherDataCentre) knows(name string) bool {
	return slices.ContainsFunc(dc.members, func(m *member) bool { return m.Name == name })
}
