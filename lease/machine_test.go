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
	here = Observation{SelfListed: true, AddressBound: true}
)

// held is a scope that a process of another incarnation holds.
func held(holder string, byProof bool) ScopeState {
	r := Record{
		Op: OpClaim, Scope: "s", Holder: holder, Incarnation: "a", Term: 3 * time.Second,
		Basis: BasisFirst, Unfenced: byProof,
	}
	s, _ := ScopeState{}.Apply(placed(7, "first", testStart), r)
	return s
}

func placed(offset infra.Offset, id string, readAt time.Time) journal.Placed {
	return journal.Placed{
		Position: journal.Position{Offset: offset}, At: readAt, ReadAt: readAt,
		Entry: journal.Entry{ID: id},
	}
}

func TestWhoMayClaimAndWhen(t *testing.T) {
	released, ok := held("i1", false).Apply(placed(8, "", testStart), Record{
		Op: OpRelease, Holder: "i1", Incarnation: "a", FencingToken: 7, After: journal.Position{Offset: 7}, Released: true,
	})
	require.True(t, ok)
	gone := here
	gone.HolderGone = true
	cases := []struct {
		name    string
		s       ScopeState
		byProof bool
		see     Observation
		after   time.Duration
		want    Basis
	}{
		{"within the term and its drift", held("i1", false), false, here, 3299 * time.Millisecond, 0},
		{"after the term and its drift", held("i1", false), false, here, 3300 * time.Millisecond, BasisExpired},
		{"by proof, after any time", held("i1", true), true, here, 30 * time.Minute / 2, 0},
		{"by proof, settings changed since", held("i1", true), false, here, time.Minute, 0},
		{"by proof, holder's instance gone", held("i1", true), true, gone, 0, BasisGone},
		{"by proof, not listed itself", held("i1", true), true, Observation{HolderGone: true, AddressBound: true}, 0, 0},
		{"same instance, address bound", held("i2", true), true, here, 0, BasisSuccessor},
		{"same instance, address not bound", held("i2", true), true, Observation{SelfListed: true}, time.Minute, 0},
		{"released", released, false, here, 0, BasisReleased},
		{"nothing known, started lately", ScopeState{}, false, here, 3 * time.Second, 0},
		{"nothing known", ScopeState{}, false, here, 4 * time.Second, BasisFirst},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := testCfg
			cfg.Unfenced = c.byProof
			step := NewMachine(cfg, testStart).Step(c.s, c.see, testStart.Add(c.after))
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

// A claim's reply is lost, and the record lands a minute later. Its writer must
// not think that its term begins then: others have long been waiting on what
// they read, and counted from its sending the term is over.
func TestLateRecordGivesNoAuthority(t *testing.T) {
	m := NewMachine(testCfg, testStart)
	now := testStart.Add(4 * time.Second)
	step := m.Step(ScopeState{}, here, now)
	require.NotNil(t, step.Record)
	m.BeginSend("claim", *step.Record, now)

	landed := now.Add(time.Minute)
	again := m.Step(ScopeState{}, here, landed)
	require.Equal(t, "claim", m.PendingID(*again.Record), "sent again under the same ID")
	m.BeginSend("claim", *again.Record, landed)
	s, ok := ScopeState{}.Apply(placed(9, "claim", landed), *step.Record)
	require.True(t, ok)
	_, ok = m.Authority(s, landed)
	assert.False(t, ok)

	renewal := m.Step(s, here, landed)
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

// The only record of who held a scope expires from the log while its holder is
// paused. A process that starts then would know of no holder and claim.
func TestOrphanedScopeIsKeptInTheLog(t *testing.T) {
	cfg := testCfg
	cfg.Unfenced = true
	s := held("i1", true)
	m := NewMachine(cfg, testStart)
	assert.Nil(t, m.Step(s, here, testStart.Add(10*time.Minute)).Record)
	step := m.Step(s, here, testStart.Add(16*time.Minute))
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
