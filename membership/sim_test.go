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

// sim runs the machines of several instances over a network that delays, loses
// and cuts, beside a platform list that lags.
type sim struct {
	t       require.TestingT
	rng     *rand.Rand
	now     time.Time
	peers   []Peer
	running map[string]*Machine
	leaving map[string]bool
	starts  uint64
	cut     map[string]bool // "from>to", of instances or data centres
	transit []inTransit
	lists   []listed
	// crossing counts messages between data centres.
	crossing int
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
			s.crossing++
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

// recordList notes what the list will show after its lag.
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

// requireTruth checks that every running instance believes what is so.
func (s *sim) requireTruth() {
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

// An instance restarts, others are killed, cut off from each other one way or
// both, whole data centres too, some leave, and messages overtake each other
// and a list that lags. While that lasts, callers may be sent to the wrong
// places; some seconds after it ends every instance must see the truth again.
func TestViewsConvergeAfterAnyTrouble(t *testing.T) {
	for seed := range uint64(150) {
		s := newSim(t, seed, 3, 2, 2)
		for range 25 {
			s.trouble()
			s.run(time.Duration(s.rng.IntN(20)) * simStep)
			for _, name := range s.names() {
				// The list may still show a former process as leaving.
				want := []State{Live, Leaving}
				if s.leaving[name] {
					want = []State{Leaving}
				}
				require.Contains(t, want, s.state(name, name), "an instance knows that it runs")
			}
		}
		clear(s.cut)
		s.run(settleFor)
		s.requireTruth()
	}
}

func (s *sim) trouble() {
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

// One message a second goes from each data centre to each other, however many
// instances there are.
func TestOnlySendersCrossDataCentres(t *testing.T) {
	s := newSim(t, 1, 20, 20, 20)
	s.run(settleFor)
	s.crossing = 0
	s.run(10 * time.Second)
	require.Equal(t, 10*3*2, s.crossing)
}

// Both senders are replaced at the same moment. Each side's new sender only
// knows the other's former one, so without trying others in turn the two data
// centres would never hear of each other again.
func TestBothSendersDieAtOnce(t *testing.T) {
	s := newSim(t, 1, 3, 3)
	s.run(settleFor)
	s.kill("a000")
	s.kill("b000")
	s.run(settleFor)
	s.requireTruth()
}

// One way between two instances of different data centres is broken for good.
// Summaries must find another way in and stay on it, not come and go.
func TestSummariesGoAroundABrokenWay(t *testing.T) {
	s := newSim(t, 1, 3, 3)
	s.cut["a000>b000"] = true
	s.run(settleFor)
	for range 100 {
		s.run(simStep)
		s.requireTruth()
	}
}

// An instance is restarted with its clock set back. Its heartbeats look like
// those of a former process until it learns which number the others know.
func TestClockSetBack(t *testing.T) {
	s := newSim(t, 1, 3, 2)
	s.run(settleFor)
	s.kill("a001")
	s.startAs("a001", 0)
	s.run(settleFor)
	s.requireTruth()
}

// A way is broken between two instances only. Callers of the one that hears
// nothing must still be sent to the other once it is the only one left, and it
// must not count as gone, since a third instance hears it.
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

// A replaced instance is up while the list still shows its predecessor as
// leaving. Callers must be sent there as soon as it is heard.
func TestListLagsBehindAReplacement(t *testing.T) {
	s := newSim(t, 1, 2, 1)
	s.run(settleFor)
	s.leave("a001")
	s.run(listLag + time.Second)
	s.kill("a001")
	s.start("a001")
	s.run(time.Second)
	require.True(t, strings.Contains(fmt.Sprint(s.lists[0].rows), "true"), "the list still shows it leaving")
	require.Equal(t, Live, s.state("a000", "a001"))
	require.Equal(t, []string{"a000", "a001", "b000"}, s.running["a000"].View().Entries("a"))

	// A message that the former process sent comes late.
	s.running["a000"].ReceiveHeartbeat(Heartbeat{From: "a001", Incarnation: 2, Seq: 1000, Leaving: true}, s.now)
	require.Equal(t, Live, s.state("a000", "a001"))
}

// An instance that the list lets go of doesn't run any more, so callers aren't
// sent there as a last resort either.
func TestDroppedFromTheListIsGone(t *testing.T) {
	s := newSim(t, 1, 2, 1)
	s.run(settleFor)
	s.kill("a001")
	s.run(listLag + time.Second)
	require.Less(t, listLag+time.Second, DefaultGoneAfter)
	require.Equal(t, Gone, s.state("a000", "a001"))
}

// In a changeover two senders tell different things of the same instance, and a
// stranger or an oversized summary tells nonsense.
func TestSummariesThatDiffer(t *testing.T) {
	s := newSim(t, 1, 1, 3)
	m := s.running["a000"]
	told := func(from string, members ...Member) {
		m.ReceiveSummary(Summary{DataCentre: "b", From: from, Incarnation: 9, Seq: 1, Members: members}, s.now)
	}
	told("b000", Member{"b000", 9, Live}, Member{"b001", 5, Leaving}, Member{"b002", 5, Suspected})
	told("b001", Member{"b000", 9, Gone}, Member{"b001", 6, Live}, Member{"b002", 5, Live})
	told("stranger", Member{"b000", 10, Gone})
	told("b002", Member{"b000", 10, Gone}, Member{}, Member{}, Member{})
	require.Equal(t, []string{"a000", "b000", "b001", "b002"}, m.View().Entries("a"))
}

// No promise may rest on this package: those that keep the promises don't know
// of it. A view that is wrong can then only cost a connect or a detour.
func TestNoPromiseRestsOnMembership(t *testing.T) {
	for _, keeper := range []string{"journal", "lease", "claim", "rules", "orders", "quarantine"} {
		files, err := filepath.Glob("../" + keeper + "/*.go")
		require.NoError(t, err)
		require.NotEmpty(t, files, keeper)
		for _, file := range files {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			require.NoError(t, err)
			for _, imported := range parsed.Imports {
				require.NotContains(t, imported.Path.Value, "membership", file)
			}
		}
	}
}
