package member

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/enginemodel"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

// mapStore is a store with the newest entries of one topic; its first reads fail.
type mapStore struct {
	Store
	failures int
	entries  map[string][]byte
}

func (s *mapStore) Newest(context.Context, Topic) ([]Entry, Position, error) {
	if s.failures--; s.failures >= 0 {
		return nil, 0, errors.New("store is down")
	}
	var all []Entry
	for key, value := range s.entries {
		all = append(all, Entry{Key: key, Value: value})
	}
	return all, 0, nil
}

func (s *mapStore) Put(_ context.Context, _ Topic, e Entry) error {
	s.entries[e.Key] = e.Value
	return nil
}

// Guards against engine parameters that are estimated again, and several times wrong, after all
// daemons were lost at once. They must be read from the store, also if it fails at first and
// holds an invalid entry.
func TestObservationsSurviveLossOfAllDaemons(t *testing.T) {
	members := []placement.Member{{ID: "e", Pool: "p", Role: upstream.RolePrefill, Slots: 4, KVTokens: 1 << 20}}
	now := time.Unix(1, 0)
	before := placement.NewTracker(func() time.Time { return now })
	before.AssumeNewEnginesEmpty()
	before.Sync(members)
	for range 40 {
		ticket := before.Begin("e", placement.Work{Prefill: enginemodel.Prompt{Tokens: 5000}})
		now = now.Add(200 * time.Millisecond)
		ticket.PrefillDone()
		ticket.End(placement.Done)
		now = now.Add(time.Second)
	}
	store := &mapStore{failures: 1, entries: map[string][]byte{"q": []byte("not json")}}
	(&observationSync{store: store, tracker: before, backoff: newBackoff(oneDaemon), log: discardLogger}).save(t.Context())
	require.Len(t, store.entries, 2)

	after := placement.NewTracker(nil)
	(&observationSync{store: store, tracker: after, backoff: newBackoff(oneDaemon), log: discardLogger}).load(t.Context())
	prompt := enginemodel.Prompt{Tokens: 5000}
	want := before.PrefillMillis("p", upstream.RolePrefill, prompt)
	require.Greater(t, want, 100.0)
	require.InEpsilon(t, want, after.PrefillMillis("p", upstream.RolePrefill, prompt), 0.05)
}
