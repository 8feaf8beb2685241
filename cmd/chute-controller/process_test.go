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

// heavy and light are demands that call for prefill and for decode.
const (
	manyPrompt, fewOutput = 9000, 20
)

// changed waits until a change of some engine has come to a phase.
func (c *cluster) changed(ok func(orders.Change) bool) orders.Change {
	c.t.Helper()
	var found orders.Change
	c.until("a change", func() bool {
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

func (c *cluster) settled() {
	c.t.Helper()
	c.until("no open change", func() bool {
		for _, e := range c.changes.Snapshot().Engines {
			if e.Open() != nil {
				return false
			}
		}
		return true
	})
}

func (c *cluster) soundEngines() {
	c.t.Helper()
	for name, e := range c.engines {
		n := e.Counters()
		assert.Zero(c.t, n.ConflictingOrders, name)
		assert.Zero(c.t, n.OutdatedOrdersAccepted, name)
		assert.Zero(c.t, n.InterruptedByOrder, name)
	}
}

// An engine is in the middle of a role change when its data centre's leader
// dies. Without a successor that finds the change in the journal, entries would
// leave the engine alone for ever, or two leaders would order it about.
func TestSuccessorFinishesAChangeOfAKilledLeader(t *testing.T) {
	for _, f := range []settings.Fencing{settings.FencingChecked, settings.FencingNone} {
		t.Run(string(f), func(t *testing.T) {
			c := start(t, f, f)
			first := c.leader(scopeOf(f), 0)
			c.want(manyPrompt, fewOutput)
			ch := c.changed(func(ch orders.Change) bool { return ch.Phase == orders.PhaseOrdered })
			c.kill(first.Holder)
			c.launch(first.Holder)
			second := c.leader(scopeOf(f), first.FencingToken)
			c.changed(func(now orders.Change) bool { return now.ID == ch.ID && now.Phase == orders.PhaseConfirmed })
			assert.Equal(t, ch.Target.Role, c.engines[ch.Engine].State().Role)
			assert.GreaterOrEqual(t, second.FencingToken, first.FencingToken)
			c.soundEngines()
		})
	}
}

// A leader is paused for longer than its term. Engines that check fencing
// numbers pass to another instance meanwhile; those that don't must stay
// without a leader, since nothing would stop the paused one's next order. When
// it wakes up, nobody may obey it as the leader of the first kind.
func TestPausedLeader(t *testing.T) {
	t.Run("checked", func(t *testing.T) {
		c := start(t, settings.FencingChecked, settings.FencingChecked)
		first := c.leader(scopeOf(settings.FencingChecked), 0)
		c.want(manyPrompt, fewOutput)
		c.changed(func(ch orders.Change) bool {
			return ch.Phase == orders.PhaseDraining || ch.Phase == orders.PhaseOrdered
		})
		c.signal(first.Holder, syscall.SIGSTOP)
		second := c.leader(scopeOf(settings.FencingChecked), first.FencingToken)
		require.NotEqual(t, first.Holder, second.Holder)
		c.settled()
		c.signal(first.Holder, syscall.SIGCONT)
		c.until("the woken one renewed nothing", func() bool {
			return c.leases.Scope(second.Scope).Last.Offset > second.Last.Offset+2
		})
		assert.Equal(t, second.Holder, c.leases.Scope(second.Scope).Holder)
		c.soundEngines()
	})
	t.Run("none", func(t *testing.T) {
		c := start(t, settings.FencingNone, settings.FencingNone, settings.FencingChecked)
		first := c.leader(scopeOf(settings.FencingNone), 0)
		c.signal(first.Holder, syscall.SIGSTOP)
		c.until("another one leads the checked engine for two terms", func() bool {
			now := c.leases.Scope(scopeOf(settings.FencingChecked))
			term := time.Duration(c.d.Lease.TermSeconds * float64(time.Second))
			return now.Holder != first.Holder && now.LastAt.Sub(now.Since) > 2*term
		})
		require.Equal(t, first.FencingToken, c.leases.Scope(first.Scope).FencingToken)
		c.signal(first.Holder, syscall.SIGCONT)
		c.until("the woken one goes on", func() bool {
			now := c.leases.Scope(first.Scope)
			return now.Holder == first.Holder && first.Last.Less(now.Last)
		})
		c.want(manyPrompt, fewOutput)
		c.changed(func(ch orders.Change) bool { return ch.Phase == orders.PhaseConfirmed })
		c.soundEngines()
	})
}

// An instance is stopped in an orderly way. Its scopes must pass on at once,
// not after a term, and the program must end with success.
func TestStoppedLeaderReleases(t *testing.T) {
	c := start(t, settings.FencingChecked, settings.FencingChecked)
	first := c.leader(scopeOf(settings.FencingChecked), 0)
	c.signal(first.Holder, syscall.SIGTERM)
	require.NoError(t, c.running[first.Holder].Wait())
	delete(c.running, first.Holder)
	second := c.leader(first.Scope, first.FencingToken)
	assert.Equal(t, "released", second.Basis.String())
}

// An engine has been replaced by one that holds another model. Requests for the
// model that it should serve would be refused there until somebody loads it.
func TestReplacedEngineLoadsItsModel(t *testing.T) {
	d := deployment(t, settings.FencingChecked, settings.FencingChecked)
	d.Platform.WeightBytesPerSecond = 10 << 20
	real := *d
	real.Upstreams = slices.Clone(d.Upstreams)
	real.Upstreams[0].Models = []string{"old"}
	c := startWith(t, d, &real)
	ch := c.changed(func(ch orders.Change) bool { return ch.Phase == orders.PhaseConfirmed })
	assert.Equal(t, upstream.OrderModel, ch.Kind)
	assert.Equal(t, "e1", ch.Engine)
	assert.InDelta(t, 5<<20, ch.Reservation.BytesPerSec, 1)
	state := c.engines["e1"].State()
	assert.Equal(t, "m", state.Model)
	assert.Equal(t, "v2", state.Version)
	c.soundEngines()
}

func scopeOf(f settings.Fencing) string {
	if f == settings.FencingChecked {
		return "a/fenced"
	}
	return "a/unfenced"
}
