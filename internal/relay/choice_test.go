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
	"tamarackchute/quarantine"
	"tamarackchute/rules/pathset"
	"tamarackchute/upstream"
)

// takenUp returns a call that takes up a stream of version v1 with a deadline in 10 s, in a pool with an upstream of v1 and
// two of v2, one place each.
func takenUp(r *Relay) *call {
	now := time.Now()
	return &call{
		Call:  Call{ID: "taken-up", ResumeAfter: 3, Resumes: "begun", Generation: &Generation{PromptTokens: 10, MaxOutput: 10}},
		relay: r, in: httptest.NewRequest(http.MethodPost, "/", nil), arrived: now, deadline: now.Add(10 * time.Second),
		rule: &pathset.Rule{Name: "llm", Objective: 100 * time.Millisecond, Stream: true}, pool: "llm",
		origin: streamOrigin{fixed: true, version: "v1"}, retried: true,
	}
}

func newVersionRelay() *Relay {
	state := fleet.NewState()
	r := New(Config{State: state, Tracker: placement.NewTracker(nil)})
	all := make(map[string]*fleet.Upstream)
	for id, version := range map[string]string{"v1": "v1", "v2": "v2", "other-v2": "v2"} {
		all[id] = &fleet.Upstream{ID: id, Pool: "llm", Version: version, Slots: 1, Role: upstream.RoleDecode}
	}
	state.SetUpstreams(all)
	return r
}

// Guards against a stream that its caller takes up and that is refused before its version has a place again, as a new or a
// late request would be.
func TestTakenUpStreamWaitsForAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newVersionRelay()
		held := r.cfg.Tracker.Begin("v1", placement.Work{})
		time.AfterFunc(5*time.Second, func() {
			held.End(placement.Done)
			r.WakeWaiting()
		})
		p, f := takenUp(r).assign(t.Context())
		require.Nil(t, f)
		require.Equal(t, "v1", p.target.ID)
		require.Equal(t, 5*time.Second, p.waited)
	})
}

// Guards against a stream that its caller takes up and that waits, though no upstream of its version comes back in time.
func TestTakenUpStreamIsRefusedAtOnceIfNothingComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newVersionRelay()
		start := time.Now()
		r.cfg.Tracker.BackOff("v1", time.Time{}, time.Minute)
		_, f := takenUp(r).assign(t.Context())
		require.Equal(t, reasonNoCapacity, f.reason)
		require.Equal(t, time.Minute, f.retryAfter)
		require.Equal(t, start, time.Now())
	})
}

// Guards against a stream that its caller takes up near its end and that is refused because a whole response would take too
// long.
func TestTakenUpStreamNeedsTimeForItsRestOnly(t *testing.T) {
	c := takenUp(newVersionRelay())
	c.Generation.MaxOutput = 1000
	require.Equal(t, 997, c.placementRequest().OutputTokens)
	c.ResumeAfter = 2000
	require.Equal(t, 1, c.placementRequest().OutputTokens)
}

// reservations are the claims of other suspects.
type reservations struct {
	CrashDetector
	now quarantine.Reservations
}

func (r *reservations) Reservations(quarantine.Digest) quarantine.Reservations { return r.now }

// Guards against a suspected stream that counts an upstream of another version as room.
func TestSuspectedStreamHasRoomAtItsVersionOnly(t *testing.T) {
	r := newVersionRelay()
	c := takenUp(r)
	require.False(t, c.findTrialRoom(quarantine.Reservations{Claimed: []string{"v1"}, Reserved: []string{"v1"}}))
	c.origin.version = "v2"
	require.True(t, c.findTrialRoom(quarantine.Reservations{Claimed: []string{"v1"}, Reserved: []string{"v1"}, Running: true}))
}

// Guards against a suspected stream that waits for capacity and goes on avoiding an upstream whose suspects have ended.
func TestWaitingSuspectLooksAtClaimsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newVersionRelay()
		claims := &reservations{now: quarantine.Reservations{Claimed: []string{"v1"}, Reserved: []string{"v1"}}}
		r.cfg.Crashes = claims
		c := takenUp(r)
		c.trial = trial{suspected: true, avoid: []string{"v1"}}
		ended := time.Now().Add(time.Second)
		go func() {
			time.Sleep(time.Until(ended))
			q := r.streamQueue("llm")
			q.mu.Lock()
			claims.now = quarantine.Reservations{}
			q.mu.Unlock()
		}()
		p, f := c.assign(t.Context())
		require.Nil(t, f)
		require.Equal(t, "v1", p.target.ID)
	})
}

// Guards against a request of another rule that takes the place which a taken-up stream of the same pool waits for.
func TestRequestOfAnotherRuleTakesNoPlaceOfAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newVersionRelay()
		held := make(map[string]*placement.Ticket)
		for _, id := range []string{"v1", "v2", "other-v2"} {
			held[id] = r.cfg.Tracker.Begin(id, placement.Work{})
		}
		placed := make(chan *assignment, 1)
		go func() {
			p, _ := takenUp(r).assign(t.Context())
			placed <- p
		}()
		synctest.Wait()
		held["v1"].End(placement.Done) // without a signal, so that the newcomer is first to look
		newcomer := takenUp(r)
		newcomer.rule, newcomer.ResumeAfter, newcomer.origin, newcomer.retried = &pathset.Rule{Name: "other", Objective: time.Second}, 0, streamOrigin{}, false
		_, f := newcomer.assign(t.Context())
		require.NotNil(t, f, "it is refused")
		require.Equal(t, reasonNoCapacity, f.reason)
		p := <-placed
		require.NotNil(t, p)
		require.Equal(t, "v1", p.target.ID)
	})
}

// Guards against streams that wait behind a suspect of their version, which waits for its turn.
func TestSuspectHoldsUpNoOtherStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newVersionRelay()
		r.cfg.Crashes = &reservations{now: quarantine.Reservations{Running: true}}
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		suspect := takenUp(r)
		suspect.trial.suspected = true
		go func() { _, _ = suspect.assign(ctx) }()
		synctest.Wait()
		p, f := takenUp(r).assign(t.Context())
		require.Nil(t, f)
		require.Equal(t, "v1", p.target.ID)
	})
}
