package main

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/settings"
	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// Demand in tokens per second that calls for more prefill capacity.
const (
	promptDemand, outputDemand = 9000, 20
)

// waitForChange waits until the current or last change of some engine satisfies ok.
func (c *cluster) waitForChange(ok func(orders.Change) bool) orders.Change {
	c.t.Helper()
	var found orders.Change
	c.waitFor("a change", func() bool {
		for _, e := range c.changes.Snapshot().Engines {
			if e.Change != nil && ok(*e.Change) {
				found = *e.Change
				return true
			}
		}
		return false
	})
	return found
}

func (c *cluster) waitForNoOpenChange() {
	c.t.Helper()
	c.waitFor("no open change", func() bool {
		for _, e := range c.changes.Snapshot().Engines {
			if e.Open() != nil {
				return false
			}
		}
		return true
	})
}

func (c *cluster) checkEngines() {
	c.t.Helper()
	for name, e := range c.engines {
		n := e.Counters()
		assert.Zero(c.t, n.ConflictingOrders, name)
		assert.Zero(c.t, n.OutdatedOrdersAccepted, name)
		assert.Zero(c.t, n.InterruptedByOrder, name)
	}
}

// A leader dies in the middle of an engine's role change. If its successor didn't find the
// change in the journal, the entries would send no work to the engine for ever, or two
// leaders would send it orders.
func TestSuccessorCompletesChangeOfKilledLeader(t *testing.T) {
	for _, f := range []settings.Fencing{settings.FencingChecked, settings.FencingNone} {
		t.Run(string(f), func(t *testing.T) {
			c := start(t, f, f)
			first := c.waitForLeader(scopeOf(f), 0)
			c.setDemand(promptDemand, outputDemand)
			ch := c.waitForChange(func(ch orders.Change) bool { return ch.Phase == orders.PhaseOrdered })
			c.kill(first.Holder)
			c.launch(first.Holder)
			second := c.waitForLeader(scopeOf(f), first.FencingToken)
			c.waitForChange(func(now orders.Change) bool { return now.ID == ch.ID && now.Phase == orders.PhaseConfirmed })
			assert.Equal(t, ch.Target.Role, c.engines[ch.Engine].State().Role)
			assert.GreaterOrEqual(t, second.FencingToken, first.FencingToken)
			c.checkEngines()
		})
	}
}

// A leader is paused for longer than its term. The scope of engines that check fencing
// tokens is taken over meanwhile. The other scope must stay without a leader, since nothing
// would stop the paused leader's next order. After the pause, engines that check tokens
// must not obey it.
func TestPausedLeader(t *testing.T) {
	t.Run("checked", func(t *testing.T) {
		c := start(t, settings.FencingChecked, settings.FencingChecked)
		first := c.waitForLeader(scopeOf(settings.FencingChecked), 0)
		c.setDemand(promptDemand, outputDemand)
		c.waitForChange(func(ch orders.Change) bool {
			return ch.Phase == orders.PhaseDraining || ch.Phase == orders.PhaseOrdered
		})
		c.signal(first.Holder, syscall.SIGSTOP)
		second := c.waitForLeader(scopeOf(settings.FencingChecked), first.FencingToken)
		require.NotEqual(t, first.Holder, second.Holder)
		c.waitForNoOpenChange()
		c.signal(first.Holder, syscall.SIGCONT)
		c.waitFor("later records of the new leader", func() bool {
			return c.leases.Scope(second.Scope).Last.Offset > second.Last.Offset+2
		})
		assert.Equal(t, second.Holder, c.leases.Scope(second.Scope).Holder)
		c.checkEngines()
	})
	t.Run("none", func(t *testing.T) {
		c := start(t, settings.FencingNone, settings.FencingNone, settings.FencingChecked)
		first := c.waitForLeader(scopeOf(settings.FencingNone), 0)
		c.signal(first.Holder, syscall.SIGSTOP)
		c.waitFor("another instance leads the checked engine for two terms", func() bool {
			now := c.leases.Scope(scopeOf(settings.FencingChecked))
			term := time.Duration(c.d.Lease.TermSeconds * float64(time.Second))
			return now.Holder != first.Holder && now.LastAt.Sub(now.Since) > 2*term
		})
		require.Equal(t, first.FencingToken, c.leases.Scope(first.Scope).FencingToken)
		c.signal(first.Holder, syscall.SIGCONT)
		c.waitFor("the resumed leader renews its lease", func() bool {
			now := c.leases.Scope(first.Scope)
			return now.Holder == first.Holder && first.Last.Less(now.Last)
		})
		c.setDemand(promptDemand, outputDemand)
		c.waitForChange(func(ch orders.Change) bool { return ch.Phase == orders.PhaseConfirmed })
		c.checkEngines()
	})
}

// When an instance shuts down, its scopes must be released at once rather than after a
// term, and the program must exit successfully.
func TestStoppedLeaderReleasesLease(t *testing.T) {
	c := start(t, settings.FencingChecked, settings.FencingChecked)
	first := c.waitForLeader(scopeOf(settings.FencingChecked), 0)
	c.signal(first.Holder, syscall.SIGTERM)
	require.NoError(t, c.running[first.Holder].Wait())
	delete(c.running, first.Holder)
	second := c.waitForLeader(first.Scope, first.FencingToken)
	assert.Equal(t, "released", second.Basis.String())
}

// A replaced engine holds another model. It would refuse requests for the model that it
// should serve until a controller loads it.
func TestReplacedEngineLoadsConfiguredModel(t *testing.T) {
	d := deployment(t, settings.FencingChecked, settings.FencingChecked)
	d.Platform.WeightBytesPerSecond = 10 << 20
	actual := *d
	actual.Upstreams = slices.Clone(d.Upstreams)
	actual.Upstreams[0].Models = []string{"old"}
	c := startWith(t, d, &actual)
	ch := c.waitForChange(func(ch orders.Change) bool { return ch.Phase == orders.PhaseConfirmed })
	assert.Equal(t, upstream.OrderModel, ch.Kind)
	assert.Equal(t, "e1", ch.Engine)
	assert.InDelta(t, 5<<20, ch.Reservation.BytesPerSec, 1)
	state := c.engines["e1"].State()
	assert.Equal(t, "m", state.Model)
	assert.Equal(t, "v2", state.Version)
	c.checkEngines()
}

func scopeOf(f settings.Fencing) string {
	if f == settings.FencingChecked {
		return "a/fenced"
	}
	return "a/unfenced"
}
