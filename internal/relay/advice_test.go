package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/rules/pathset"
)

// Guards against a transfer of shared prompt parts from an engine that has left or is in backoff since
// the request was placed.
func TestHeldBackEngineIsNoKVSource(t *testing.T) {
	state, tracker := fleet.NewState(), placement.NewTracker(nil)
	c := &call{relay: New(Config{State: state, Tracker: tracker})}
	inBackoff, draining := &fleet.Upstream{ID: "r", Address: "r:1"}, &fleet.Upstream{ID: "d", Address: "d:1"}
	state.SetUpstreams(map[string]*fleet.Upstream{"r": inBackoff, "d": draining})
	for _, u := range []*fleet.Upstream{inBackoff, draining} {
		require.Equal(t, u.Address, c.sourceAddress(&assignment{source: u}))
	}
	tracker.BackOff(inBackoff.ID, inBackoff.Started, time.Minute)
	state.MarkDraining(draining)
	for _, u := range []*fleet.Upstream{inBackoff, draining} {
		require.Empty(t, c.sourceAddress(&assignment{source: u}))
	}
	require.Empty(t, c.sourceAddress(&assignment{}))
}

// Guards against a request that queues behind one which waits for the end of a backoff, although
// it can't wait that long itself.
func TestRefusalWhileAllBackOffIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state, tracker := fleet.NewState(), placement.NewTracker(nil)
		r := New(Config{State: state, Tracker: tracker})
		u := &fleet.Upstream{ID: "a", Pool: "app"}
		state.SetUpstreams(map[string]*fleet.Upstream{"a": u})
		tracker.BackOff(u.ID, u.Started, time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		go r.queue("app").await(ctx, turn{class: onTime}, start.Add(time.Hour), func() bool { return false })
		synctest.Wait()
		c := &call{
			relay: r, in: httptest.NewRequest(http.MethodPost, "/", nil), arrived: start, deadline: start.Add(10 * time.Second),
			rule: &pathset.Rule{Name: "app", Objective: time.Second}, pool: "app",
		}
		_, f := c.assign(ctx)
		require.Equal(t, reasonAllBackingOff, f.reason)
		require.Equal(t, time.Minute, f.retryAfter)
		require.Equal(t, start, time.Now())
	})
}
