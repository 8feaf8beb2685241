package member

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"tamarackchute/internal/fleet"
	"tamarackchute/rules/pathset"
)

// oneDaemon is the number of daemons of a site with a single one.
func oneDaemon() int { return 1 }

var discardLogger = slog.New(slog.DiscardHandler)

// textDecoder decodes entries of the form "pool address [started=N] [revision=N] [leaving]" and
// configurations that consist of their version.
type textDecoder struct{}

func (textDecoder) Config(e Entry) (*fleet.Config, bool, error) {
	if e.Key != "config" {
		return nil, false, nil
	}
	c, err := textDecoder{}.ConfigDocument(e.Value)
	return c, true, err
}

func (textDecoder) ConfigDocument(document []byte) (*fleet.Config, error) {
	v, err := strconv.ParseUint(string(document), 10, 64)
	if err != nil {
		return nil, err
	}
	return &fleet.Config{Version: v, Rules: pathset.New(nil), Document: document}, nil
}

func (textDecoder) Upstream(e Entry) (*fleet.Upstream, error) {
	fields := strings.Fields(string(e.Value))
	if len(fields) < 2 {
		return nil, fmt.Errorf("entry %q", e.Value)
	}
	u := &fleet.Upstream{ID: e.Key, Pool: fields[0], Address: fields[1]}
	for _, field := range fields[2:] {
		if started, ok := strings.CutPrefix(field, "started="); ok {
			n, err := strconv.ParseInt(started, 10, 64)
			if err != nil {
				return nil, err
			}
			u.Started = time.UnixMilli(n)
			continue
		}
		if revision, ok := strings.CutPrefix(field, "revision="); ok {
			n, err := strconv.ParseUint(revision, 10, 64)
			if err != nil {
				return nil, err
			}
			u.Revision = n
			continue
		}
		if version, ok := strings.CutPrefix(field, "version="); ok {
			u.Version = version
			continue
		}
		u.Draining = true
	}
	return u, nil
}

func entry(key, value string) Entry {
	if value == "" {
		return Entry{Key: key}
	}
	return Entry{Key: key, Value: []byte(value)}
}

type feedHarness struct {
	feed  *upstreamFeed
	state *fleet.State
	age   time.Duration
}

func newFeedHarness() *feedHarness {
	h := &feedHarness{state: fleet.NewState()}
	h.feed = newUpstreamFeed(textDecoder{}, h.state, 30*time.Millisecond, discardLogger)
	h.feed.age = func() time.Duration { return h.age }
	return h
}

func (h *feedHarness) list() string {
	var all []string
	for _, pool := range []string{"p", "q"} {
		for _, u := range h.state.Snapshot().Pools[pool] {
			id := u.ID
			if u.Draining {
				id += " leaving"
			}
			all = append(all, id)
		}
	}
	return strings.Join(all, ",")
}

// Upstreams are added, changed, drained and removed; an invalid entry is ignored and affects no
// other.
func TestUpstreamsFollowEntries(t *testing.T) {
	h := newFeedHarness()
	h.feed.reset([]Entry{entry("b", "p 1:1"), entry("a", "p 1:2"), entry("c", "nonsense"), entry("d", "q 1:3")})
	require.Equal(t, "a,b,d", h.list())
	h.feed.apply([]Entry{entry("a", "p 1:2 leaving"), entry("e", "p 1:4")})
	require.Equal(t, "a leaving,b,e,d", h.list())
	h.feed.apply([]Entry{entry("a", ""), entry("never", "")})
	require.Equal(t, "b,e,d", h.list())
	h.feed.reset([]Entry{entry("e", "p 1:4")})
	require.Equal(t, "e", h.list())
}

// Guards against live upstreams that are dropped as their entries lapsed during an outage of the
// store. They stay in use until they have had time to write again; those that don't are dropped.
func TestEntriesLapsedInOutageAreKept(t *testing.T) {
	h := newFeedHarness()
	h.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	h.age = 2 * outageThreshold
	h.feed.apply([]Entry{entry("a", ""), entry("b", "")})
	require.Equal(t, "a,b", h.list())
	h.age = 0
	h.feed.apply([]Entry{entry("a", "p 1:1")})
	require.Equal(t, "a,b", h.list())
	time.Sleep(40 * time.Millisecond) // longer than the feed's grace
	h.feed.apply(nil)
	require.Equal(t, "a", h.list())
	h.feed.apply([]Entry{entry("a", "")})
	require.Empty(t, h.list(), "without an outage a removal counts at once")
}

// Guards against an upstream that stays listed for good. One daemon keeps a lapsed entry for a
// while; another, which has read the removal, takes over that daemon's more recent list. With
// the entry in it, the removal would be behind its position.
func TestLapsedEntriesAreNotSentToPeers(t *testing.T) {
	h := newFeedHarness()
	h.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	h.age = 2 * outageThreshold
	h.feed.apply([]Entry{entry("a", "")})
	require.Equal(t, "a,b", h.list(), "goes on being used here")
	confirmed, unconfirmed := h.feed.entries()
	require.Equal(t, map[string][]byte{"b": []byte("p 1:2")}, confirmed)
	require.Equal(t, map[string][]byte{"a": []byte("p 1:1")}, unconfirmed)
}

// Guards against a lapsed entry that never expires when the store has no further changes, or
// another daemon reads them for this one.
func TestLapsedEntriesExpireWithoutChanges(t *testing.T) {
	h := newFeedHarness()
	h.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	h.age = 2 * outageThreshold
	h.feed.apply([]Entry{entry("a", "")})
	time.Sleep(40 * time.Millisecond) // longer than the feed's grace
	h.feed.expireLapsed()
	require.Equal(t, "b", h.list())
}

// Lists with the same upstreams have the same digest, in whatever order they were read; an
// upstream that drains or changes its role changes the digest.
func TestDigestsIdentifyLists(t *testing.T) {
	first, second := newFeedHarness(), newFeedHarness()
	first.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	second.feed.apply([]Entry{entry("b", "p 1:2")})
	require.NotEqual(t, first.feed.current().digest, second.feed.current().digest)
	second.feed.apply([]Entry{entry("a", "p 1:1")})
	require.Equal(t, first.feed.current().digest, second.feed.current().digest)
	second.feed.apply([]Entry{entry("a", "p 1:1 leaving")})
	require.NotEqual(t, first.feed.current().digest, second.feed.current().digest)
}

// A read by a peer delays the daemon's own read, which then continues from the position that the
// peer had reached.
func TestPeerReadReplacesOwnRead(t *testing.T) {
	store := &scriptedStore{}
	r := &topicReader{backoff: newBackoff(oneDaemon), store: store, interval: time.Hour, applyAll: func([]Entry) {}, applyChanges: func([]Entry) {}, log: discardLogger}
	require.NoError(t, r.read(context.Background()))
	require.EqualValues(t, 10, r.position())
	require.Positive(t, r.delay())
	r.readAt = time.Now().Add(-2 * time.Hour)
	require.Negative(t, r.delay())
	r.adopt(70, time.Minute)
	require.Positive(t, r.delay())
	r.adopt(60, 90*time.Minute)
	require.Positive(t, r.delay(), "an older reading changes nothing")
	require.NoError(t, r.read(context.Background()))
	require.Equal(t, []Position{70}, store.changes)
}

// A delayed or repeated message must not bring back an older version, and an invalid one leaves
// the current version in force.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	state := fleet.NewState()
	feed := newConfigFeed(textDecoder{}, state, tally.NoopScope, discardLogger)
	version := func() uint64 { return state.Snapshot().Config.Version }
	feed.apply([]Entry{entry("config", "5")})
	require.EqualValues(t, 5, version())
	feed.apply([]Entry{entry("config", "9"), entry("config", "7"), entry("other", "12")})
	require.EqualValues(t, 9, version())
	feed.apply([]Entry{entry("config", "broken"), entry("config", "3")})
	require.EqualValues(t, 9, version())
}

// scriptedStore answers with counted entries, records its calls and fails on demand.
type scriptedStore struct {
	mu      sync.Mutex
	newest  int
	changes []Position
	expire  bool
	fail    bool
	eras    EraTracker
}

func (s *scriptedStore) Eras() *EraTracker { return &s.eras }

func (s *scriptedStore) Newest(context.Context, Topic) ([]Entry, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return nil, 0, errors.New("store is down")
	}
	s.newest++
	return []Entry{entry("config", strconv.Itoa(s.newest))}, Position(10 * s.newest), nil
}

func (s *scriptedStore) Changes(_ context.Context, _ Topic, from Position, _ time.Duration) ([]Entry, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return nil, from, errors.New("store is down")
	}
	if s.expire {
		s.expire = false
		return nil, from, ErrExpired
	}
	s.changes = append(s.changes, from)
	return nil, from + 1, nil
}

func (s *scriptedStore) Put(context.Context, Topic, Entry) error { return nil }

// Guards against a reader that waits for changes that the store has deleted. It must read the
// newest entries again.
func TestReaderRestartsAfterExpiry(t *testing.T) {
	store := &scriptedStore{}
	state := fleet.NewState()
	feed := newConfigFeed(textDecoder{}, state, tally.NoopScope, discardLogger)
	r := &topicReader{backoff: newBackoff(oneDaemon), store: store, topic: TopicConfig, name: "configuration", interval: time.Millisecond, applyAll: feed.apply, applyChanges: feed.apply, log: discardLogger}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Serve(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	reads := func() int {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.changes)
	}
	require.Eventually(t, func() bool { return reads() > 2 }, 10*time.Second, time.Millisecond)
	store.mu.Lock()
	require.Equal(t, []Position{10, 11, 12}, store.changes[:3])
	store.expire = true
	store.mu.Unlock()
	require.Eventually(t, func() bool { return state.Snapshot().Config.Version == 2 }, 10*time.Second, time.Millisecond)

	store.mu.Lock()
	store.fail = true
	store.mu.Unlock()
	require.Eventually(t, func() bool { return r.age() > 20*time.Millisecond }, 10*time.Second, time.Millisecond)
	store.mu.Lock()
	store.fail = false
	store.mu.Unlock()
	require.Eventually(t, func() bool { return r.age() < 20*time.Millisecond }, 10*time.Second, time.Millisecond)
}

// hangingStore lets the first read of changes hang, like a connection that failed silently in an
// outage, and answers all later ones.
type hangingStore struct {
	scriptedStore
	hung chan struct{}
}

func (s *hangingStore) Changes(ctx context.Context, t Topic, from Position, wait time.Duration) ([]Entry, Position, error) {
	s.mu.Lock()
	first := len(s.changes) == 0
	s.changes = append(s.changes, from)
	s.mu.Unlock()
	if first {
		close(s.hung)
		<-ctx.Done()
		return nil, from, ctx.Err()
	}
	return []Entry{entry("config", "77")}, from + 1, nil
}

// Guards against a daemon that serves with an old configuration until its long poll times out,
// as the connection failed silently in an outage. Once another read shows that the store has
// recovered, the long poll must be restarted.
func TestLongPollRestartsAfterOutage(t *testing.T) {
	store := &hangingStore{hung: make(chan struct{})}
	state := fleet.NewState()
	feed := newConfigFeed(textDecoder{}, state, tally.NoopScope, discardLogger)
	r := &topicReader{backoff: newBackoff(oneDaemon), store: store, longPoll: time.Hour, applyAll: feed.apply, applyChanges: feed.apply, log: discardLogger}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Serve(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	<-store.hung
	other := &topicReader{backoff: newBackoff(oneDaemon), log: discardLogger, onRecovered: r.restartRead}
	other.recordFailure(ctx, errors.New("cut off"))
	other.recordRead(1, time.Now())
	require.Eventually(t, func() bool { return state.Snapshot().Config.Version == 77 }, 10*time.Second, time.Millisecond)
}

// Guards against a delayed answer of the store that brings back the earlier start of an upstream
// that has restarted under its ID, or is gone.
func TestEarlierStartIsIgnored(t *testing.T) {
	h := newFeedHarness()
	started := func() time.Time { return h.state.Snapshot().Upstreams["a"].Started }
	h.feed.reset([]Entry{entry("a", "p 1:1 started=100")})
	h.feed.apply([]Entry{entry("a", "p 1:1 started=200")})
	require.Equal(t, time.UnixMilli(200), started())
	h.feed.apply([]Entry{entry("a", "p 1:1 started=100")})
	require.Equal(t, time.UnixMilli(200), started())
	h.feed.apply([]Entry{entry("a", "")})
	require.Empty(t, h.list())
	h.feed.apply([]Entry{entry("a", "p 1:1 started=100")})
	require.Empty(t, h.list())
	h.feed.apply([]Entry{entry("a", "p 1:1 started=300")})
	require.Equal(t, "a", h.list())
}

// Guards against requests to an address from an entry that another program has overwritten, and
// against a repeated warning for each further read.
func TestInvalidEntryRemovesUpstream(t *testing.T) {
	h := newFeedHarness()
	var lines bytes.Buffer
	h.feed.log = slog.New(slog.NewTextHandler(&lines, nil))
	h.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	for range 3 {
		h.feed.apply([]Entry{entry("a", "nonsense")})
		require.Equal(t, "b", h.list())
	}
	require.Equal(t, 1, strings.Count(lines.String(), "invalid upstream entry"))
	require.EqualValues(t, 1, h.feed.rejectedEntries())
	h.feed.apply([]Entry{entry("a", "p 1:1")})
	require.Equal(t, "a,b", h.list())
}
