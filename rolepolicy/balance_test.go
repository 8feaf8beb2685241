package rolepolicy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// testPool returns a pool whose decode engines prefill at less than half the rate, and
// whose engines are out of service for 3 s when they change. Demand and load are in
// engines.
func testPool(prefill, decode int, demand, decodeLoad float64) Pool {
	return Pool{
		Prefill: prefill, Decode: decode, ConcurrentPrefillRate: 0.44, SwitchTime: 3 * time.Second,
		PrefillDemand: demand, DecodeLoad: decodeLoad,
	}
}

// decideFor calls Decide every half second for a duration and returns the first
// change and its time.
func decideFor(b *Balancer, p Pool, d time.Duration) (Change, time.Duration, bool) {
	start := time.Unix(1000, 0)
	for t := time.Duration(0); t <= d; t += 500 * time.Millisecond {
		if c, ok := b.Decide(p, start.Add(t)); ok {
			return c, t, true
		}
	}
	return Change{}, 0, false
}

// All prefill engines were replaced by decode engines, so that all prompts compete
// with streams. Some engines must change soon.
func TestAddsPrefillEngines(t *testing.T) {
	c, after, ok := decideFor(NewBalancer(DefaultBalancerConfig()), testPool(0, 8, 2.2, 2.5), 5*time.Second)
	require.True(t, ok)
	require.Equal(t, upstream.RolePrefill, c.To)
	require.LessOrEqual(t, after, 2*time.Second)
}

// A burst of prompts that ends within two seconds isn't worth a role change, which
// takes an engine out of service for longer.
func TestShortBurstsChangeNothing(t *testing.T) {
	b := NewBalancer(DefaultBalancerConfig())
	now := time.Unix(1000, 0)
	for range 20 {
		for i := range 10 {
			demand := 6.7
			if i >= 4 {
				demand = 1.1
			}
			_, ok := b.Decide(testPool(3, 5, demand, 0.8), now)
			require.False(t, ok)
			now = now.Add(500 * time.Millisecond)
		}
	}
}

func TestSteadyMixChangesNothing(t *testing.T) {
	_, _, ok := decideFor(NewBalancer(DefaultBalancerConfig()), testPool(3, 5, 2.7, 2.1), time.Minute)
	require.False(t, ok)
}

// The decode engines have no room left: an engine must change back to decode.
func TestAddsDecodeEngines(t *testing.T) {
	c, _, ok := decideFor(NewBalancer(DefaultBalancerConfig()), testPool(4, 4, 2.2, 3.9), 5*time.Second)
	require.True(t, ok)
	require.Equal(t, upstream.RoleDecode, c.To)
}

// Decode engines are removed after others have changed to prefill, and one is left
// for all streams. An engine must change back although that one isn't quite full.
func TestTooFewDecodeEngines(t *testing.T) {
	c, after, ok := decideFor(NewBalancer(DefaultBalancerConfig()), testPool(4, 1, 4.4, 0.8), 5*time.Second)
	require.True(t, ok)
	require.Equal(t, upstream.RoleDecode, c.To)
	require.LessOrEqual(t, after, 2500*time.Millisecond)
	_, _, ok = decideFor(NewBalancer(DefaultBalancerConfig()), testPool(3, 2, 2.2, 0.8), 5*time.Second)
	require.False(t, ok)
}

// Guards against a pool that serves nothing, as its last engine only prefills.
func TestLastEngineDecodes(t *testing.T) {
	c, after, ok := decideFor(NewBalancer(DefaultBalancerConfig()), testPool(1, 0, 0.3, 0), 5*time.Second)
	require.True(t, ok)
	require.Equal(t, upstream.RoleDecode, c.To)
	require.Equal(t, 1, c.Engines)
	require.LessOrEqual(t, after, 4*time.Second)
	_, _, ok = decideFor(NewBalancer(DefaultBalancerConfig()), testPool(0, 1, 20, 0.1), time.Minute)
	require.False(t, ok, "it stays one that decodes")
	_, _, ok = decideFor(NewBalancer(DefaultBalancerConfig()), testPool(1, 1, 20, 0.1), time.Minute)
	require.False(t, ok)
	_, _, ok = decideFor(NewBalancer(DefaultBalancerConfig()), testPool(0, 0, 0, 0), time.Minute)
	require.False(t, ok)
}

// However many prompts wait, there must stay enough decode engines for the present
// load and for the loss of one, and only few may change concurrently.
func TestBoundsOfChanges(t *testing.T) {
	cfg := DefaultBalancerConfig()
	for _, load := range []float64{0, 0.5, 1.3, 2.9, 4.4} {
		for prefill := 0; prefill <= 8; prefill++ {
			c, _, ok := decideFor(NewBalancer(cfg), testPool(prefill, 8-prefill, 20, load), time.Minute)
			if ok && c.To == upstream.RolePrefill {
				left := float64(8 - prefill - 1)
				require.GreaterOrEqual(t, left, 2.0)
				require.LessOrEqual(t, load, cfg.LowWatermark*left)
			}
		}
	}
	busy := testPool(1, 7, 20, 0)
	busy.Changing = 2
	_, _, ok := decideFor(NewBalancer(DefaultBalancerConfig()), busy, time.Minute)
	require.False(t, ok)
}

// Guards against a minimum gain relative to the pool, which one of ninety engines
// never reaches: with a third of the prefill engines that the prompts need, and
// decode engines at a quarter of their capacity, no change would ever be made. The
// shortage must end within seconds, and the streams must keep their room.
func TestLargePoolsChangeToo(t *testing.T) {
	cfg := DefaultBalancerConfig()
	b := NewBalancer(cfg)
	p := testPool(32, 58, 90, 14)
	now := time.Unix(1000, 0)
	for range 20 {
		if c, ok := b.Decide(p, now); ok {
			require.Equal(t, upstream.RolePrefill, c.To)
			require.LessOrEqual(t, float64(c.Engines), cfg.MaxChangingShare*90)
			p.Prefill += c.Engines
			p.Decode -= c.Engines
		}
		now = now.Add(500 * time.Millisecond)
	}
	require.GreaterOrEqual(t, p.Prefill, 60)
	require.LessOrEqual(t, p.DecodeLoad, cfg.LowWatermark*float64(p.Decode))
}

// Demand that rises and falls within seconds must change no more engines than its
// minimum requires: a peak of one second doesn't predict the next minute.
func TestChangesFollowMinimumDemand(t *testing.T) {
	b := NewBalancer(DefaultBalancerConfig())
	now := time.Unix(1000, 0)
	for i := range 20 {
		demand := 40.0
		if i%2 == 0 {
			demand = 80
		}
		if c, ok := b.Decide(testPool(32, 58, demand, 14), now); ok {
			require.LessOrEqual(t, c.Engines, 8)
			return
		}
		now = now.Add(500 * time.Millisecond)
	}
	t.Fatal("no change")
}
