package member

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"tamarackchute/infra"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/relay"
	"tamarackchute/internal/telemetry"
	"tamarackchute/internal/wire"
	"tamarackchute/placement"
)

const (
	// testGrace is the LapsedEntryGrace of the daemons in these tests.
	testGrace = 2 * time.Second
	// testDetection is how long a daemon needs at most to notice a change in a store that
	// answers: a reader's interval with its jitter, and a check of its peers.
	testDetection = time.Second
	// testRound is the time between two rounds of reads and messages.
	testRound = 500 * time.Millisecond
	// testReadGap separates two reads by more than the least gain of age for which a daemon
	// relies on a peer's read.
	testReadGap = 150 * time.Millisecond
	// testHeartbeat is the interval at which a live upstream writes its entry.
	testHeartbeat = time.Second
)

var errStoreDown = errors.New("store is down")

// logStore is a store of one topic that can be restored from an older copy.
type logStore struct {
	mu      sync.Mutex
	era     uint64
	first   int
	records []Entry
	down    bool
	calls   int
}

func (s *logStore) write(id, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.records = append(s.records, entry(id, value))
	}
}

func (s *logStore) end() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// restore restores the store from a copy that holds the first records only.
func (s *logStore) restore(copied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.records = s.records[:copied:copied]
}

func (s *logStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *logStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = len(s.records)
}

func (s *logStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// logClient is a daemon's access to a logStore.
type logClient struct {
	*logStore
	eras EraTracker
	// cutOff means that the store is out of this daemon's reach.
	cutOff bool
}

// Eras implements Store.
func (c *logClient) Eras() *EraTracker { return &c.eras }

func (c *logClient) call() error {
	c.calls++
	if c.down || c.cutOff {
		return errStoreDown
	}
	c.eras.Observe(c.era, "the store")
	return nil
}

// Newest implements Store.
func (c *logClient) Newest(context.Context, Topic) ([]Entry, Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	newest := make(map[string]Entry)
	for _, e := range c.records {
		newest[e.Key] = e
	}
	var entries []Entry
	for _, e := range newest {
		if e.Value != nil {
			entries = append(entries, e)
		}
	}
	return entries, infra.NewOffset(c.era, uint64(len(c.records))), nil
}

// Changes implements Store.
func (c *logClient) Changes(_ context.Context, _ Topic, from Position, _ time.Duration) ([]Entry, Position, error) {
	if from.Era() < c.eras.Current() {
		return nil, from, ErrExpired
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.call(); err != nil {
		return nil, from, err
	}
	index := int(from.Index())
	if from.Era() != c.era || index < c.first || index > len(c.records) {
		return nil, from, ErrExpired
	}
	return slices.Clone(c.records[index:]), infra.NewOffset(c.era, uint64(len(c.records))), nil
}

// Put implements Store.
func (c *logClient) Put(context.Context, Topic, Entry) error { return nil }

// restoreSite is a site of daemons that share a logStore. Its methods force the order of their
// reads and messages; run lets them proceed by themselves.
type restoreSite struct {
	t       *testing.T
	store   *logStore
	daemons []*Member
}

// newRestoreSite starts n daemons that have read the entries of upstreams; they write none
// later unless they are kept alive.
func newRestoreSite(t *testing.T, n int, ids ...string) *restoreSite {
	s := &restoreSite{t: t, store: &logStore{}}
	for _, id := range ids {
		s.store.write(id, upstreamEntry(id, 1))
	}
	for range n {
		s.read(s.start())
	}
	return s
}

func upstreamEntry(id string, revision int) string {
	return fmt.Sprintf("p %s:1 started=5 revision=%d", id, revision)
}

// start adds a daemon that has read nothing yet.
func (s *restoreSite) start() *Member {
	name := fmt.Sprint("daemon-", len(s.daemons))
	m := &Member{
		cfg: Config{
			Settings: Settings{Instance: name, PeerAddress: name, LapsedEntryGrace: testGrace}, Store: &logClient{logStore: s.store},
			Decoder: textDecoder{}, Metrics: &telemetry.Metrics{Scope: tally.NoopScope},
		},
		log: discardLogger, state: fleet.NewState(), tracker: placement.NewTracker(nil), self: wire.MemberAddress{Instance: name, Peers: name},
	}
	m.relay = relay.New(relay.Config{State: m.state, Tracker: m.tracker})
	m.configAge = newConfigFreshness(m.cfg.Settings, m.state, m.cfg.Store.Eras(), m.log)
	m.peers = newPeers(m.self, m.wireConfig(), m.tracker, m.log)
	m.peers.localDemand = func() map[string]wire.MemberDemand { return nil }
	m.peers.requestsWaiting = func() bool { return false }
	m.peers.onUpdate = func() {}
	m.peers.onPeerList, m.peers.summary, m.peers.view = m.confirmList, m.summaryForPeers, m.view
	m.buildFeeds()
	s.daemons = append(s.daemons, m)
	return m
}

// read lets a daemon read the store until it has an answer.
func (s *restoreSite) read(m *Member) {
	s.t.Helper()
	r := m.readers[upstreamReader]
	err := r.read(s.t.Context())
	if errors.Is(err, ErrExpired) {
		r.mu.Lock()
		r.positioned = false
		r.mu.Unlock()
		err = r.read(s.t.Context())
	}
	require.NoError(s.t, err)
}

// tell delivers a daemon's current state to another one.
func (s *restoreSite) tell(from, to *Member) {
	to.peers.Handle("", from.peers.heartbeatState(time.Now()), nil)
}

// takeList lets a daemon fetch the list of a peer that has a newer one, if any.
func (s *restoreSite) takeList(m *Member) {
	local := m.summary()
	address, summary := m.peers.Freshest(local)
	for _, peer := range s.daemons {
		if peer.self.Peers != address {
			continue
		}
		source := chooseSource(local, summary, m.readers[upstreamReader].isDown())
		if source.store {
			m.readers[upstreamReader].expedite()
		}
		if source.full {
			reply := peer.view(wire.ViewRequest{})
			(&peerView{member: m}).applyUpstreams(address, reply, reply.Age)
		}
	}
}

// keepAlive lets upstreams write their entries for the rest of the test.
func (s *restoreSite) keepAlive(ids ...string) {
	go func() {
		for revision := 2; s.t.Context().Err() == nil; revision++ {
			for _, id := range ids {
				s.store.write(id, upstreamEntry(id, revision))
			}
			sleep(s.t.Context(), testHeartbeat)
		}
	}()
}

// run lets the daemons proceed by themselves for a time, and calls check meanwhile.
func (s *restoreSite) run(d time.Duration, check func()) {
	ctx, cancel := context.WithTimeout(s.t.Context(), d)
	defer cancel()
	for _, m := range s.daemons {
		go func() { _ = m.readers[upstreamReader].Serve(ctx) }()
		follower := &eraFollower{eras: m.cfg.Store.Eras(), readers: m.readers[:1], daemons: m.peers.KnownCount}
		go func() { _ = follower.Serve(ctx) }()
		go func() {
			for ctx.Err() == nil {
				sleep(ctx, viewInterval)
				m.upstreams.expireLapsed()
				s.takeList(m)
			}
		}()
		go func() {
			for ctx.Err() == nil {
				for _, other := range s.daemons {
					if other != m {
						s.tell(m, other)
					}
				}
				sleep(ctx, heartbeatInterval)
			}
		}()
	}
	for ctx.Err() == nil {
		sleep(ctx, viewInterval/2)
		check()
	}
	synctest.Wait()
}

func (s *restoreSite) lists(m *Member, id string) bool {
	return m.state.Snapshot().Upstreams[id] != nil
}

// requireGone checks that no daemon lists an upstream.
func (s *restoreSite) requireGone(id string) {
	s.t.Helper()
	for _, m := range s.daemons {
		require.False(s.t, s.lists(m, id), "%s lists %s, position %v", m.self.Instance, id, m.readers[upstreamReader].position())
	}
}

// requireListed checks that all daemons list an upstream.
func (s *restoreSite) requireListed(id string) {
	s.t.Helper()
	for _, m := range s.daemons {
		require.True(s.t, s.lists(m, id), "%s doesn't list %s", m.self.Instance, id)
	}
}

// round lets the daemons read in order: a daemon whose list a peer has just confirmed doesn't,
// as in a site of many daemons.
func (s *restoreSite) round() {
	s.t.Helper()
	for _, m := range s.daemons {
		m.upstreams.expireLapsed()
		s.takeList(m)
		if m.readers[upstreamReader].age() > testReadGap {
			s.read(m)
		}
		for _, other := range s.daemons {
			if other != m {
				s.tell(m, other)
				s.takeList(other)
			}
		}
	}
	time.Sleep(testRound)
}

// requireDropped lets the daemons proceed until an upstream that hasn't written since the
// restore must be gone, and checks that it stays gone, while a live one stays listed.
func (s *restoreSite) requireDropped(dead, live string) {
	s.t.Helper()
	for start := time.Now(); time.Since(start) <= testGrace+testDetection; {
		s.round()
		s.requireListed(live)
	}
	for start := time.Now(); time.Since(start) <= testGrace; {
		s.requireGone(dead)
		s.round()
		s.requireListed(live)
	}
}
