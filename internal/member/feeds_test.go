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

	"tamarackchute/internal/fleet"
	"tamarackchute/rules/pathset"
)

// alone is the number of daemons of a site of one.
func oneDaemon() int { return 1 }

var discardLogger = slog.New(slog.DiscardHandler)

// plainFormats reads entries as "pool address [started=N] [revision=N] [leaving]" and configurations as
// their version.
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
		u.Leaving = true
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
	r := &feedHarness{state: fleet.NewState()}
	r.feed = newUpstreamFeed(textDecoder{}, r.state, 30*time.Millisecond, discardLogger)
	r.feed.age = func() time.Duration { return r.age }
	return r
}

func (r *feedHarness) ids() string {
	var all []string
	for _, pool := range []string{"p", "q"} {
		for _, u := range r.state.Snapshot().Pools[pool] {
			id := u.ID
			if u.Leaving {
				id += " leaving"
			}
			all = append(all, id)
		}
	}
	return strings.Join(all, ",")
}

// Servers are found, change, leave and go; an entry that makes no sense is left
// out and harms no other.
func TestUpstreamsFollowTheirEntries(t *testing.T) {
	r := newFeedHarness()
	r.feed.reset([]Entry{entry("b", "p 1:1"), entry("a", "p 1:2"), entry("c", "nonsense"), entry("d", "q 1:3")})
	require.Equal(t, "a,b,d", r.ids())
	r.feed.apply([]Entry{entry("a", "p 1:2 leaving"), entry("e", "p 1:4")})
	require.Equal(t, "a leaving,b,e,d", r.ids())
	r.feed.apply([]Entry{entry("a", ""), entry("never", "")})
	require.Equal(t, "b,e,d", r.ids())
	r.feed.reset([]Entry{entry("e", "p 1:4")})
	require.Equal(t, "e", r.ids())
}

// The store is away, and entries of servers that live lapse meanwhile. They must
// go on being used until the servers have had time to write again; those that
// don't come back are gone.
func TestEntriesThatLapseInAnOutage(t *testing.T) {
	r := newFeedHarness()
	r.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	r.age = 2 * outageThreshold
	r.feed.apply([]Entry{entry("a", ""), entry("b", "")})
	require.Equal(t, "a,b", r.ids())
	r.age = 0
	r.feed.apply([]Entry{entry("a", "p 1:1")})
	require.Equal(t, "a,b", r.ids())
	time.Sleep(40 * time.Millisecond) // beyond the feed's time to return
	r.feed.apply(nil)
	require.Equal(t, "a", r.ids())
	r.feed.apply([]Entry{entry("a", "")})
	require.Empty(t, r.ids(), "without an outage a removal counts at once")
}

// A server has gone for good while the store was away from one daemon, which
// doubts its entry for a while. Another daemon has read the removal already and
// takes over the first one's list, as that was read later. If the doubted entry
// came with it, nothing would ever take it out again: its removal is behind.
func TestDoubtedEntriesAreNotHandedOn(t *testing.T) {
	r := newFeedHarness()
	r.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	r.age = 2 * outageThreshold
	r.feed.apply([]Entry{entry("a", "")})
	require.Equal(t, "a,b", r.ids(), "goes on being used here")
	require.Equal(t, map[string][]byte{"b": []byte("p 1:2")}, r.feed.entries())
}

// As before, and then nothing is written to the store any more, or another daemon
// reads it for this one. The doubt must end all the same.
func TestDoubtEndsByItself(t *testing.T) {
	r := newFeedHarness()
	r.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	r.age = 2 * outageThreshold
	r.feed.apply([]Entry{entry("a", "")})
	time.Sleep(40 * time.Millisecond) // beyond the feed's time to return
	r.feed.expireLapsed()
	require.Equal(t, "b", r.ids())
}

// Lists with the same upstreams have the same digest, whatever order they were
// read in; a server that leaves, or changes its role, changes it.
func TestDigestsTellListsApart(t *testing.T) {
	one, two := newFeedHarness(), newFeedHarness()
	one.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	two.feed.apply([]Entry{entry("b", "p 1:2")})
	require.NotEqual(t, one.feed.digest.Load(), two.feed.digest.Load())
	two.feed.apply([]Entry{entry("a", "p 1:1")})
	require.Equal(t, one.feed.digest.Load(), two.feed.digest.Load())
	two.feed.apply([]Entry{entry("a", "p 1:1 leaving")})
	require.NotEqual(t, one.feed.digest.Load(), two.feed.digest.Load())
}

// A daemon that hears of another one's reading reads the store itself only when
// that has grown old, and goes on from the place that the other had reached.
func TestAnotherDaemonsReadingIsAsGood(t *testing.T) {
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

// A late or repeated message with an older version must never bring it back, and
// one that can't be read leaves the version in force as it is.
func TestConfigurationNeverGoesBack(t *testing.T) {
	state := fleet.NewState()
	feed := &configFeed{decoder: textDecoder{}, state: state, log: discardLogger}
	version := func() uint64 { return state.Snapshot().Config.Version }
	feed.apply([]Entry{entry("config", "5")})
	require.EqualValues(t, 5, version())
	feed.apply([]Entry{entry("config", "9"), entry("config", "7"), entry("other", "12")})
	require.EqualValues(t, 9, version())
	feed.apply([]Entry{entry("config", "broken"), entry("config", "3")})
	require.EqualValues(t, 9, version())
}

// scriptedStore answers from lists of calls and fails as told.
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

// The store drops its history. The reader must take the newest entries again
// rather than wait for changes that it will never see.
func TestReaderStartsAnewWhenHistoryIsDropped(t *testing.T) {
	store := &scriptedStore{}
	state := fleet.NewState()
	feed := &configFeed{decoder: textDecoder{}, state: state, log: discardLogger}
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

// hangingStore answers its first read of changes, and lets all later ones hang as
// a connection does that fell silent in an outage.
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

// A daemon is cut off from the store while it waits for a new configuration. The
// cut heals, but that connection stays silent. Once another read shows that the
// store is back, the waiting one must begin anew, or the daemon serves by an old
// configuration until its wait is over.
func TestWaitingReadBeginsAnewAfterAnOutage(t *testing.T) {
	store := &hangingStore{hung: make(chan struct{})}
	state := fleet.NewState()
	feed := &configFeed{decoder: textDecoder{}, state: state, log: discardLogger}
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

// A server has crashed and started again under its id. The store's answer of before
// arrives late: it must not make the former start the one that requests are for, nor
// bring it back once the server is gone.
func TestFormerStartStaysGone(t *testing.T) {
	r := newFeedHarness()
	started := func() time.Time { return r.state.Snapshot().Upstreams["a"].Started }
	r.feed.reset([]Entry{entry("a", "p 1:1 started=100")})
	r.feed.apply([]Entry{entry("a", "p 1:1 started=200")})
	require.Equal(t, time.UnixMilli(200), started())
	r.feed.apply([]Entry{entry("a", "p 1:1 started=100")})
	require.Equal(t, time.UnixMilli(200), started())
	r.feed.apply([]Entry{entry("a", "")})
	require.Empty(t, r.ids())
	r.feed.apply([]Entry{entry("a", "p 1:1 started=100")})
	require.Empty(t, r.ids())
	r.feed.apply([]Entry{entry("a", "p 1:1 started=300")})
	require.Equal(t, "a", r.ids())
}

// Another program writes under a server's key. Requests went on to an address that
// nobody vouches for any more; and each further reading wrote the same warning.
func TestEntryOfAnotherWriterNamesNoServer(t *testing.T) {
	r := newFeedHarness()
	var lines bytes.Buffer
	r.feed.log = slog.New(slog.NewTextHandler(&lines, nil))
	r.feed.reset([]Entry{entry("a", "p 1:1"), entry("b", "p 1:2")})
	for range 3 {
		r.feed.apply([]Entry{entry("a", "nonsense")})
		require.Equal(t, "b", r.ids())
	}
	require.Equal(t, 1, strings.Count(lines.String(), "invalid upstream entry"))
	require.EqualValues(t, 1, r.feed.rejectedEntries())
	r.feed.apply([]Entry{entry("a", "p 1:1")})
	require.Equal(t, "a,b", r.ids())
}
