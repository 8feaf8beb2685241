package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

var (
	testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	testCfg   = Config{
		Scope: "s", Instance: "i2", Incarnation: "b", Term: 3 * time.Second, Renew: time.Second,
		Drift: 0.1, Settle: time.Second, Retention: time.Hour,
	}
	present = Observation{SelfListed: true, AddressBound: true}
)

// heldBy returns a scope that another incarnation's process holds on an instance.
func heldBy(holder string, unfenced bool) ScopeState {
	r := Record{
		Op: OpClaim, Scope: "s", Holder: holder, Incarnation: "a", Term: 3 * time.Second,
		Basis: BasisFirst, Unfenced: unfenced,
	}
	s, _ := ScopeState{}.Apply(placed(7, "first", testStart), r)
	return s
}

func placed(offset infra.Offset, id string, readAt time.Time) journal.LogEntry {
	return journal.LogEntry{
		Position: journal.Position{Offset: offset}, At: readAt, ReadAt: readAt,
		Entry: journal.Entry{ID: id},
	}
}

func TestClaimBasis(t *testing.T) {
	released, ok := heldBy("i1", false).Apply(placed(8, "", testStart), Record{
		Op: OpRelease, Holder: "i1", Incarnation: "a", FencingToken: 7, After: journal.Position{Offset: 7}, Released: true,
	})
	require.True(t, ok)
	gone := present
	gone.HolderGone = true
	cases := []struct {
		name     string
		s        ScopeState
		unfenced bool
		obs      Observation
		after    time.Duration
		want     Basis
	}{
		{"within the term and its drift", heldBy("i1", false), false, present, 3299 * time.Millisecond, 0},
		{"after the term and its drift", heldBy("i1", false), false, present, 3300 * time.Millisecond, BasisExpired},
		{"unfenced, after any time", heldBy("i1", true), true, present, 30 * time.Minute / 2, 0},
		{"unfenced, settings changed since", heldBy("i1", true), false, present, time.Minute, 0},
		{"unfenced, holder's instance gone", heldBy("i1", true), true, gone, 0, BasisGone},
		{"unfenced, claimant not listed", heldBy("i1", true), true, Observation{HolderGone: true, AddressBound: true}, 0, 0},
		{"same instance, address bound", heldBy("i2", true), true, present, 0, BasisSuccessor},
		{"same instance, address not bound", heldBy("i2", true), true, Observation{SelfListed: true}, time.Minute, 0},
		{"released", released, false, present, 0, BasisReleased},
		{"nothing known, started recently", ScopeState{}, false, present, 3 * time.Second, 0},
		{"nothing known", ScopeState{}, false, present, 4 * time.Second, BasisFirst},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := testCfg
			cfg.Unfenced = c.unfenced
			step := NewMachine(cfg, testStart).Step(c.s, c.obs, testStart.Add(c.after))
			if c.want == 0 {
				assert.Nil(t, step.Record)
				return
			}
			require.NotNil(t, step.Record)
			assert.Equal(t, c.want, step.Record.Basis)
			assert.Equal(t, c.s.Last, step.Record.After)
		})
	}
}

// Guards against authority by a claim that arrives a minute late. Its term counts
// from when it was sent, as others have been waiting since their last read, so
// the term is over when it arrives.
func TestLateRecordGivesNoAuthority(t *testing.T) {
	m := NewMachine(testCfg, testStart)
	now := testStart.Add(4 * time.Second)
	step := m.Step(ScopeState{}, present, now)
	require.NotNil(t, step.Record)
	m.BeginSend("claim", *step.Record, now)

	landed := now.Add(time.Minute)
	again := m.Step(ScopeState{}, present, landed)
	require.Equal(t, "claim", m.PendingID(*again.Record), "sent again under the same ID")
	m.BeginSend("claim", *again.Record, landed)
	s, ok := ScopeState{}.Apply(placed(9, "claim", landed), *step.Record)
	require.True(t, ok)
	_, ok = m.Authority(s, landed)
	assert.False(t, ok)

	renewal := m.Step(s, present, landed)
	require.NotNil(t, renewal.Record)
	assert.Equal(t, OpRenewal, renewal.Record.Op)
	m.BeginSend("renewal", *renewal.Record, landed)
	s, ok = s.Apply(placed(10, "renewal", landed.Add(time.Second)), *renewal.Record)
	require.True(t, ok)
	a, ok := m.Authority(s, landed.Add(time.Second))
	assert.True(t, ok)
	assert.Equal(t, uint64(9), a.FencingToken)
	assert.Equal(t, landed.Add(testCfg.Term), a.Until)
}

// Guards against the expiry of the only record of a scope's holder while that
// holder is paused: a process that starts then would know of no holder and
// claim.
func TestOtherProcessCheckpointsScope(t *testing.T) {
	cfg := testCfg
	cfg.Unfenced = true
	s := heldBy("i1", true)
	m := NewMachine(cfg, testStart)
	assert.Nil(t, m.Step(s, present, testStart.Add(10*time.Minute)).Record)
	step := m.Step(s, present, testStart.Add(16*time.Minute))
	require.NotNil(t, step.Record)
	assert.Equal(t, OpCheckpoint, step.Record.Op)
	next, ok := s.Apply(placed(11, "c", testStart), *step.Record)
	require.True(t, ok)
	fresh, ok := ScopeState{}.Apply(placed(11, "c", testStart), *step.Record)
	require.True(t, ok)
	for _, got := range []ScopeState{next, fresh} {
		assert.Equal(t, "i1", got.Holder)
		assert.True(t, got.Held)
		assert.Equal(t, uint64(7), got.FencingToken)
	}
}
