package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pool that is hardly used though it answers most requests: upstreams that break some
// connections are ejected whatever else is left.
func TestPoolThatFailsAShareStaysInUse(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, failing := range []float64{0.4, 0.6} {
		tr, clock := newTestTracker(names...)
		rnd := testRand()
		draw := rand.New(rand.NewPCG(1, 2))
		ejectedSum, samples := 0, 0
		for range 20_000 {
			plan, err := Pick(tr.Snapshot(), testRequest, clock.now(), rnd)
			require.NoError(t, err)
			ticket := tr.Begin(plan, testRequest)
			clock.advance(5 * time.Millisecond)
			if plan.Engine < "c" || draw.Float64() >= failing {
				ticket.End(OutcomeOK)
			} else {
				ticket.End(OutcomeBroken)
			}
			for _, u := range tr.Snapshot().Upstreams(clock.now()) {
				samples++
				if u.Ejected || u.Probing {
					ejectedSum++
				}
			}
		}
		share := float64(ejectedSum) / float64(samples)
		require.LessOrEqual(t, share, tr.cfg.Outlier.MaxEjectedFraction, "failing %v", failing)
	}
}

// An upstream that has stopped answering is ejected, and no request goes to it but probes.
func TestSilentUpstreamsAreEjectedWhateverIsLeft(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	tr, clock := newTestTracker(names...)
	for _, n := range names {
		tr.Begin(Plan{Engine: n}, testRequest).End(OutcomeNotSent)
	}
	_, err := Pick(tr.Snapshot(), testRequest, clock.now(), testRand())
	require.Error(t, err)
}

// A request that has no other upstream left goes to an ejected one that still answers some requests.
func TestEjectedUpstreamThatAnswersIsALastResort(t *testing.T) {
	tr, clock := newTestTracker("a", "b")
	fail := func(o Outcome) { tr.Begin(Plan{Engine: "a"}, testRequest).End(o) }
	for range 5 {
		fail(OutcomeTimeout)
		fail(OutcomeOK)
	}
	for range 3 {
		fail(OutcomeTimeout)
	}
	u, _ := tr.Snapshot().Upstream("a", clock.now())
	require.True(t, u.Ejected)
	plan, err := Pick(tr.Snapshot(), testRequest, clock.now(), testRand())
	require.NoError(t, err)
	require.Equal(t, "b", plan.Engine)
	r := testRequest
	r.Exclude = []string{"b"}
	plan, err = Pick(tr.Snapshot(), r, clock.now(), testRand())
	require.NoError(t, err)
	require.Equal(t, "a", plan.Engine)
}
