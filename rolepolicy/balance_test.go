package rolepolicy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/upstream"
)

// picture is of engines that read beside generating at less than half the speed, and
// are out of service for 3 s when they change. Demand and load are in engines.
func picture(prefill, decode int, demand, generating float64) Pool {
	return Pool{
		Prefill: prefill, Decode: decode, ConcurrentPrefillRate: 0.44, SwitchTime: 3 * time.Second,
		PrefillDemand: demand, DecodeLoad: generating,
	}
}

// decideFor asks every half second while a picture lasts and returns the first
// change and when it came.
func decideFor(b *Balancer, p Pool, d time.Duration) (Change, time.Duration, bool) {
	start := time.Unix(1000, 0)
	for t := time.Duration(0); t <= d; t += 500 * time.Millisecond {
		if c, ok := b.Decide(p, start.Add(t)); ok {
			return c, t, true
		}
	}
	return Change{}, 0, false
}

// A release has replaced all engines that read prompts by ones that generate.
// Every prompt is read beside streams until some change: soon.
func TestLackOfPrefillEnginesIsMended(t *testing.T) {
	c, after, ok := decideFor(NewBalancer(DefaultBalancerConfig()), picture(0, 8, 2.2, 2.5), 5*time.Second)
	require.True(t, ok)
	require.Equal(t, upstream.RolePrefill, c.To)
	require.LessOrEqual(t, after, 2*time.Second)
}

// A burst of prompts that is over within two seconds isn't worth an engine's
// absence of several.
func TestShortBurstsChangeNothing(t *testing.T) {
	b := NewBalancer(DefaultBalancerConfig())
	now := time.Unix(1000, 0)
	for range 20 {
		for i := range 10 {
			demand := 6.7
			if i >= 4 {
				demand = 1.1
			}
			_, ok := b.Decide(picture(3, 5, demand, 0.8), now)
			require.False(t, ok)
			now = now.Add(500 * time.Millisecond)
		}
	}
}

func TestSteadyMixChangesNothing(t *testing.T) {
	_, _, ok := decideFor(NewBalancer(DefaultBalancerConfig()), picture(3, 5, 2.7, 2.1), time.Minute)
	require.False(t, ok)
}

// Streams have no room left: an engine goes back to generating.
func TestStreamsWithoutRoom(t *testing.T) {
	c, _, ok := decideFor(NewBalancer(DefaultBalancerConfig()), picture(4, 4, 2.2, 3.9), 5*time.Second)
	require.True(t, ok)
	require.Equal(t, upstream.RoleDecode, c.To)
}

// Engines that generate are taken away while others have been changed to read
// prompts. One is left for all streams: an engine must go back, though that one
// isn't full by a little.
func TestTooFewEnginesGenerate(t *testing.T) {
	c, after, ok := decideFor(NewBalancer(DefaultBalancerConfig()), picture(4, 1, 4.4, 0.8), 5*time.Second)
	require.True(t, ok)
	require.Equal(t, upstream.RoleDecode, c.To)
	require.LessOrEqual(t, after, 2500*time.Millisecond)
	_, _, ok = decideFor(NewBalancer(DefaultBalancerConfig()), picture(3, 2, 2.2, 0.8), 5*time.Second)
	require.False(t, ok)
}

// However many prompts wait, enough engines go on generating for the load that there
// is and for the loss of one, and only few change at a time.
func TestBoundsOfChanges(t *testing.T) {
	cfg := DefaultBalancerConfig()
	for _, load := range []float64{0, 0.5, 1.3, 2.9, 4.4} {
		for prefill := 0; prefill <= 8; prefill++ {
			c, _, ok := decideFor(NewBalancer(cfg), picture(prefill, 8-prefill, 20, load), time.Minute)
			if ok && c.To == upstream.RolePrefill {
				left := float64(8 - prefill - 1)
				require.GreaterOrEqual(t, left, 2.0)
				require.LessOrEqual(t, load, cfg.LowWatermark*left)
			}
		}
	}
	busy := picture(1, 7, 20, 0)
	busy.Changing = 2
	_, _, ok := decideFor(NewBalancer(DefaultBalancerConfig()), busy, time.Minute)
	require.False(t, ok)
}

// A pool of ninety engines has a third of the readers that its prompts need, and
// refuses half of them, while its streams fill a quarter of the others. No change is
// ever made: one engine more adds less than a share of what ninety do. The shortage
// must end within seconds, and the streams must keep their room.
func TestLargePoolsChangeToo(t *testing.T) {
	cfg := DefaultBalancerConfig()
	b := NewBalancer(cfg)
	p := picture(32, 58, 90, 14)
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

// Demand that rises and falls within seconds moves no more engines than it needed
// all the while: the highest of a second is no measure of the next minute.
func TestChangesFollowTheLeastDemandOfTheirTime(t *testing.T) {
	b := NewBalancer(DefaultBalancerConfig())
	now := time.Unix(1000, 0)
	for i := range 20 {
		demand := 40.0
		if i%2 == 0 {
			demand = 80
		}
		if c, ok := b.Decide(picture(32, 58, demand, 14), now); ok {
			require.LessOrEqual(t, c.Engines, 8)
			return
		}
		now = now.Add(500 * time.Millisecond)
	}
	t.Fatal("no change")
}
