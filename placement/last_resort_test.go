package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// failingPool is a pool of one-slot upstreams, all but the first of which fail a share of requests.
type failingPool struct {
	tr   *Tracker
	now  time.Time
	draw *rand.Rand
}

func newFailingPool(role upstream.Role, ids ...string) *failingPool {
	p := &failingPool{now: time.Unix(1000, 0), draw: rand.New(rand.NewPCG(1, 2))}
	p.tr = NewTracker(func() time.Time { return p.now })
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id, Pool: "p", Role: role, Slots: 1, KVTokens: 1 << 20})
	}
	p.tr.Sync(members)
	return p
}

// teach lets an upstream fail a share of many requests, and then some more in a row.
func (p *failingPool) teach(id string, failing float64, row int) {
	end := func(o Outcome) {
		p.now = p.now.Add(maxEjection)
		p.tr.Begin(id, Work{}).End(o)
	}
	for range 200 {
		if p.draw.Float64() < failing {
			end(Unreachable)
		} else {
			end(Done)
		}
	}
	end(Done)
	for range row {
		end(Unreachable)
	}
}

// Guards against requests that are refused while upstreams that answer most requests are free: those
// are ejected, and nothing looks at what remains.
func TestEjectedUpstreamsThatAnswerAreALastResort(t *testing.T) {
	p := newFailingPool("", "a", "b")
	p.teach("b", 0.4, unreachableLimit)
	require.Equal(t, PoolHealth{Listed: 2, Ejected: 1}, p.tr.PoolHealth("p"), "it isn't unreachable")
	id, full, ok := p.tr.PickService("p", Request{})
	require.True(t, ok)
	require.False(t, full)
	require.Equal(t, "a", id, "the others come first")
	for range 2 { // its slot, and one that queues
		p.tr.Begin("a", Work{})
	}
	id, full, ok = p.tr.PickService("p", Request{})
	require.True(t, ok)
	require.False(t, full)
	require.Equal(t, "b", id)
	require.True(t, p.tr.Begin("b", Work{}).LastResort())
	id, _, ok = p.tr.PickService("p", Request{Exclude: []string{"a"}})
	require.True(t, ok)
	require.Equal(t, "b", id, "nothing else is left to the request")
}

// The same for engines, and for an engine that is to decode what another one has read.
func TestEjectedEnginesThatAnswerAreALastResort(t *testing.T) {
	p := newFailingPool(upstream.RoleDecode, "a", "b")
	p.teach("b", 0.4, unreachableLimit)
	r := Request{PromptTokens: 100, OutputTokens: 10}
	plan, ok := p.tr.Pick("p", r)
	require.True(t, ok)
	require.Equal(t, "a", plan.Engine)
	p.tr.Begin("a", Work{})
	plan, ok = p.tr.Pick("p", r)
	require.True(t, ok)
	require.Equal(t, "b", plan.Engine)
	r.Exclude = []string{"a"}
	plan, ok = p.tr.PickDecode("p", "", r)
	require.True(t, ok)
	require.Equal(t, "b", plan.Engine)
}

// Guards against requests that are sent to upstreams that answer nothing, or have asked for a backoff,
// because no other ones are left.
func TestSilentUpstreamsAreNoLastResort(t *testing.T) {
	p := newFailingPool("", "a", "b")
	p.teach("b", 0.4, 0)
	p.tr.BackOff("b", time.Time{}, time.Minute)
	for range unreachableLimit {
		p.tr.Begin("a", Work{}).End(Unreachable)
	}
	_, _, ok := p.tr.PickService("p", Request{})
	require.False(t, ok)
	require.Equal(t, 1, p.tr.PoolHealth("p").Unreachable)
}
