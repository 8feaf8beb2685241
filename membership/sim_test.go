package membership

import (
	"fmt"
	"go/parser"
	"go/token"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
)

const (
	simStep   = 100 * time.Millisecond
	listLag   = 3 * time.Second
	settleFor = 15 * time.Second
)

// sim runs the Machines of several instances with a simulated network that delays
// messages and breaks links, and a platform list that lags.
type sim struct {
	t       require.TestingT
	rng     *rand.Rand
	now     time.Time
	peers   []Peer
	running map[string]*Machine
	leaving map[string]bool
	starts  uint64
	cut     map[string]bool // broken links "from>to", of instances or data centres
	transit []inTransit
	lists   []listed
	// crossDataCentre counts messages between data centres.
	crossDataCentre int
}

type inTransit struct {
	at time.Time
	Outgoing
	from string
}

type listed struct {
	at   time.Time
	rows []infra.Instance
}

func newSim(t require.TestingT, seed uint64, perDataCentre ...int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		running: map[string]*Machine{}, leaving: map[string]bool{}, cut: map[string]bool{},
	}
	for d, n := range perDataCentre {
		for i := range n {
			s.peers = append(s.peers, Peer{fmt.Sprintf("%c%03d", 'a'+d, i), string(rune('a' + d))})
		}
	}
	for _, p := range s.peers {
		s.start(p.Name)
	}
	return s
}

func (s *sim) start(name string) {
	s.starts++
	s.startAs(name, s.starts)
}

func (s *sim) startAs(name string, incarnation uint64) {
	cfg := Config{
		Self: Peer{name, name[:1]}, Peers: s.peers, Incarnation: incarnation,
		Nearest: func(string) []string { return []string{"a", "b", "c"} },
	}
	s.running[name] = New(cfg, s.now)
	delete(s.leaving, name)
}

func (s *sim) kill(name string) { delete(s.running, name) }

func (s *sim) leave(name string) {
	s.leaving[name] = true
	s.post(name, s.running[name].Leave(s.now))
}

func (s *sim) post(from string, out []Outgoing) {
	for _, o := range out {
		if from[:1] != o.To[:1] {
			s.crossDataCentre++
		}
		delay := time.Duration(s.rng.IntN(4)) * simStep
		s.transit = append(s.transit, inTransit{s.now.Add(delay), o, from})
	}
}

func (s *sim) blocked(from, to string) bool {
	return s.cut[from+">"+to] || s.cut[from[:1]+">"+to[:1]]
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.deliver()
		s.recordList()
		for _, name := range s.names() {
			m := s.running[name]
			if s.now.UnixMilli()%1000 == 0 {
				m.ApplyList(s.lists[0].rows, s.now)
			}
			s.post(name, m.Tick(s.now))
		}
	}
}

func (s *sim) names() []string {
	var names []string
	for name := range s.running {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *sim) deliver() {
	due := s.transit
	s.transit = nil
	for _, msg := range due {
		m := s.running[msg.To]
		switch {
		case msg.at.After(s.now):
			s.transit = append(s.transit, msg)
		case m == nil || s.blocked(msg.from, msg.To):
		default:
			switch body := msg.Message.(type) {
			case Heartbeat:
				m.ReceiveHeartbeat(body, s.now)
			case Summary:
				s.post(msg.To, m.ReceiveSummary(body, s.now))
			}
		}
	}
}

// recordList records what the platform's list shows after its lag.
func (s *sim) recordList() {
	var rows []infra.Instance
	for _, name := range s.names() {
		rows = append(rows, infra.Instance{Name: name, Kind: infra.KindEntry, Terminating: s.leaving[name]})
	}
	s.lists = append(s.lists, listed{s.now, rows})
	for len(s.lists) > 1 && !s.lists[1].at.After(s.now.Add(-listLag)) {
		s.lists = s.lists[1:]
	}
}

// requireConverged checks that every running instance's view is correct.
func (s *sim) requireConverged() {
	for _, observer := range s.names() {
		v := s.running[observer].View()
		for _, p := range s.peers {
			want := Gone
			if s.running[p.Name] != nil {
				want = Live
			}
			if s.leaving[p.Name] && want == Live {
				want = Leaving
			}
			require.Equal(s.t, want, v.State(p.Name), "%s about %s", observer, p.Name)
		}
	}
}

func (s *sim) state(observer, name string) State { return s.running[observer].View().State(name) }

// Instances restart, are killed or shut down, links between instances and between
// data centres break in one or both directions, messages are reordered, and the
// list lags. During such faults callers may be sent to the wrong instances; some
// seconds after the last fault every view must be correct.
func TestViewsConvergeAfterFaults(t *testing.T) {
	for seed := range uint64(150) {
		s := newSim(t, seed, 3, 2, 2)
		for range 25 {
			s.injectFault()
			s.run(time.Duration(s.rng.IntN(20)) * simStep)
			for _, name := range s.names() {
				// The list may still show a previous process as terminating.
				want := []State{Live, Leaving}
				if s.leaving[name] {
					want = []State{Leaving}
				}
				require.Contains(t, want, s.state(name, name), "an instance must consider itself running")
			}
		}
		clear(s.cut)
		s.run(settleFor)
		s.requireConverged()
	}
}

func (s *sim) injectFault() {
	p, q := s.peers[s.rng.IntN(len(s.peers))], s.peers[s.rng.IntN(len(s.peers))]
	switch s.rng.IntN(8) {
	case 0, 1:
		s.kill(p.Name)
	case 2, 3:
		s.start(p.Name)
	case 4:
		s.cut[p.Name+">"+q.Name] = true
	case 5:
		s.cut[p.DataCentre+">"+q.DataCentre] = p.DataCentre != q.DataCentre
	case 6:
		clear(s.cut)
	case 7:
		if s.running[p.Name] != nil {
			s.leave(p.Name)
		}
	}
}

// Each data centre sends one message a second to each other data centre,
// regardless of the number of instances.
func TestOnlySendersCrossDataCentres(t *testing.T) {
	s := newSim(t, 1, 20, 20, 20)
	s.run(settleFor)
	s.crossDataCentre = 0
	s.run(10 * time.Second)
	require.Equal(t, 10*3*2, s.crossDataCentre)
}

// The senders of two data centres stop at once. Each side's new sender knows only
// the other side's former one, so without rotating receivers the two data centres
// would never exchange summaries again.
func TestBothSendersReplacedAtOnce(t *testing.T) {
	s := newSim(t, 1, 3, 3)
	s.run(settleFor)
	s.kill("a000")
	s.kill("b000")
	s.run(settleFor)
	s.requireConverged()
}

// The link from one instance to another in a different data centre is permanently
// broken. Summaries must switch to another receiver and keep it; otherwise the
// views would flap.
func TestSummariesAvoidBrokenLink(t *testing.T) {
	s := newSim(t, 1, 3, 3)
	s.cut["a000>b000"] = true
	s.run(settleFor)
	for range 100 {
		s.run(simStep)
		s.requireConverged()
	}
}

// An instance is restarted with its clock set back. Its heartbeats look like those
// of an earlier process until the others report the incarnation that they know.
func TestClockSetBack(t *testing.T) {
	s := newSim(t, 1, 3, 2)
	s.run(settleFor)
	s.kill("a001")
	s.startAs("a001", 0)
	s.run(settleFor)
	s.requireConverged()
}

// Only the link from one instance to another is broken. While a third instance
// vouches for the silent one, it must be suspected and not gone, so that callers
// can still be sent there as a last resort.
func TestVouchedForIsOnlySuspected(t *testing.T) {
	s := newSim(t, 1, 3, 1)
	s.run(settleFor)
	s.cut["a001>a000"] = true
	s.run(settleFor)
	require.Equal(t, Suspected, s.state("a000", "a001"))
	require.Equal(t, Live, s.state("a002", "a001"))
	s.kill("a002")
	s.run(settleFor)
	require.Equal(t, Gone, s.state("a000", "a001"))
}

// A replacement is running while the list still shows the previous process as
// terminating. Callers must be sent there as soon as its heartbeats arrive.
func TestListLagsBehindAReplacement(t *testing.T) {
	s := newSim(t, 1, 2, 1)
	s.run(settleFor)
	s.leave("a001")
	s.run(listLag + time.Second)
	s.kill("a001")
	s.start("a001")
	s.run(time.Second)
	require.True(t, strings.Contains(fmt.Sprint(s.lists[0].rows), "true"), "the list must still show it as terminating")
	require.Equal(t, Live, s.state("a000", "a001"))
	require.Equal(t, []string{"a000", "a001", "b000"}, s.running["a000"].View().Entries("a"))

	// A message of the previous process arrives late.
	s.running["a000"].ReceiveHeartbeat(Heartbeat{From: "a001", Incarnation: 2, Seq: 1000, Leaving: true}, s.now)
	require.Equal(t, Live, s.state("a000", "a001"))
}

// An instance that was removed from the list is no longer running, so callers must
// not be sent there even as a last resort.
func TestDroppedFromTheListIsGone(t *testing.T) {
	s := newSim(t, 1, 2, 1)
	s.run(settleFor)
	s.kill("a001")
	s.run(listLag + time.Second)
	require.Less(t, listLag+time.Second, DefaultGoneAfter)
	require.Equal(t, Gone, s.state("a000", "a001"))
}

// While the sender changes, two senders report different states of the same
// instance. Summaries from an unknown sender and oversized ones must be ignored.
func TestConflictingSummaries(t *testing.T) {
	s := newSim(t, 1, 1, 3)
	m := s.running["a000"]
	receive := func(from string, members ...Member) {
		m.ReceiveSummary(Summary{DataCentre: "b", From: from, Incarnation: 9, Seq: 1, Members: members}, s.now)
	}
	receive("b000", Member{"b000", 9, Live}, Member{"b001", 5, Leaving}, Member{"b002", 5, Suspected})
	receive("b001", Member{"b000", 9, Gone}, Member{"b001", 6, Live}, Member{"b002", 5, Live})
	receive("stranger", Member{"b000", 10, Gone})
	receive("b002", Member{"b000", 10, Gone}, Member{}, Member{}, Member{})
	require.Equal(t, []string{"a000", "b000", "b001", "b002"}, m.View().Entries("a"))
}

// No guarantee may depend on this package, so the packages that provide the
// guarantees must not import it. Then a wrong view costs at most a failed
// connection attempt or a detour.
func TestNoGuaranteeDependsOnMembership(t *testing.T) {
	for _, pkg := range []string{"journal", "lease", "claim", "rules", "orders", "quarantine"} {
		files, err := filepath.Glob("../" + pkg + "/*.go")
		require.NoError(t, err)
		require.NotEmpty(t, files, pkg)
		for _, file := range files {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			require.NoError(t, err)
			for _, imported := range parsed.Imports {
				require.NotContains(t, imported.Path.Value, "membership", file)
			}
		}
	}
}
