package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/router"
	"tamarackchute/upstream"
)

func rolesOf(mixed, prefill, decode int) []upstream.Role {
	var roles []upstream.Role
	for range mixed {
		roles = append(roles, upstream.RoleMixed)
	}
	for range prefill {
		roles = append(roles, upstream.RolePrefill)
	}
	for range decode {
		roles = append(roles, upstream.RoleDecode)
	}
	return roles
}

func share(part, of int) float64 { return float64(part) / float64(max(1, of)) }

// fullLoad is about the highest rates that the fake fleet can serve.
var fullLoad = arrivalRates{short: 30, long: 8}

func (r arrivalRates) times(f float64) arrivalRates {
	return arrivalRates{r.short * f, r.long * f}
}

// Seven entries share the same reports, seconds old, and don't exchange their own
// picks. If each chose the shortest reported queue, all would choose the same
// engine until the next report, and first tokens would be seconds late while other
// engines idle. The test compares the longest queue with the mean.
func TestSevenEntriesDoNotHerd(t *testing.T) {
	imbalance := func(cfg router.Config, lag time.Duration) float64 {
		f := newFleet(7, rolesOf(11, 0, 0), 7, cfg, lag)
		f.direct = true
		f.run(arrivalRates{short: 80}, 0, 40*time.Second)
		return f.imbalance / f.mean
	}
	minimum := router.DefaultConfig("dc")
	minimum.Pipeline = router.Baseline(router.LeastCost{})
	minimum.StaleAfter, minimum.StaleFraction = 1000*time.Hour, 0 // effectively no averaging of reports
	for _, lag := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
		spread, least := imbalance(router.DefaultConfig("dc"), lag), imbalance(minimum, lag)
		t.Logf("reports %v old: longest queue over the mean %.2f, with LeastCost %.2f", lag, spread, least)
		require.Less(t, spread, 1.7)
		require.Greater(t, least, 2.0, "the baseline must show herding")
	}
}

// At twice the load that the engines can serve, requests beyond capacity must be
// refused early, and admitted ones must still meet their deadlines, above all short
// ones.
func TestOverload(t *testing.T) {
	for _, c := range []struct {
		name  string
		roles []upstream.Role
	}{{"mixed", rolesOf(11, 0, 0)}, {"split", rolesOf(0, 5, 6)}} {
		for seed := range uint64(2) {
			at := func(load float64) tally {
				f := newFleet(seed+1, c.roles, 7, router.DefaultConfig("dc"), time.Second)
				return f.run(fullLoad.times(load), 15*time.Second, 40*time.Second)
			}
			peak := 0
			for _, load := range []float64{0.75, 1} {
				peak = max(peak, at(load).withinDeadline)
			}
			over := at(2)
			t.Logf("%s, seed %d: %d responses within the deadline at the peak, %d at twice the load; short within the deadline %.3f; late %d, refused %d of %d",
				c.name, seed+1, peak, over.withinDeadline, share(over.shortWithinDeadline, over.shortOffered), over.late, over.refused, over.offered)
			require.GreaterOrEqual(t, float64(over.withinDeadline), 0.9*float64(peak))
			require.GreaterOrEqual(t, share(over.shortWithinDeadline, over.shortOffered), 0.95)
		}
	}
}

// Three of eleven engines die at once while the reports are 5 s late. Their
// requests break off; the others must go on, and 10 s after the engines recover the
// share within the deadline must be as before.
func TestEngineLossWithLateReports(t *testing.T) {
	for seed := range uint64(2) {
		f := newFleet(seed+1, rolesOf(11, 0, 0), 7, router.DefaultConfig("dc"), 5*time.Second)
		rates := fullLoad.times(0.6)
		f.drive(rates, 20*time.Second)
		span := func(length time.Duration) [2]time.Time {
			from := f.now
			f.drive(rates, length)
			return [2]time.Time{from, f.now}
		}
		before := span(20 * time.Second)
		f.kill(3)
		f.drive(rates, 2*time.Second)
		during := span(20 * time.Second)
		f.revive()
		f.drive(rates, 10*time.Second)
		after := span(20 * time.Second)
		f.drive(arrivalRates{}, 40*time.Second)
		rate := func(s [2]time.Time) float64 {
			r := f.tallyOf(s[0], s[1])
			return share(r.withinDeadline, r.offered)
		}
		b, d, a := rate(before), rate(during), rate(after)
		t.Logf("seed %d: within the deadline before %.3f, during %.3f, from 10 s after on %.3f", seed+1, b, d, a)
		require.GreaterOrEqual(t, d, 0.9*b)
		require.GreaterOrEqual(t, a, 0.97*b)
	}
}

// BenchmarkPolicy measures the shares within the deadline over arrival rates,
// fleets and report ages in simulated time; -benchtime 1x is enough.
func BenchmarkPolicy(b *testing.B) {
	fleets := []struct {
		name  string
		roles []upstream.Role
	}{{"mixed", rolesOf(11, 0, 0)}, {"split", rolesOf(0, 5, 6)}}
	pipelines := []struct {
		name string
		make func(router.Config) *router.Scheduler
	}{{"default", nil}, {"outstanding", router.Baseline(router.LeastOutstanding{})}, {"robin", router.Baseline(&router.RoundRobin{})}}
	for _, fl := range fleets {
		for _, p := range pipelines {
			for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
				for _, load := range []float64{0.5, 0.75, 1, 1.5, 2, 3} {
					b.Run(fmt.Sprintf("%s/%s/lag=%v/load=%v", fl.name, p.name, lag, load), func(b *testing.B) {
						cfg := router.DefaultConfig("dc")
						cfg.Pipeline = p.make
						measure(b, fl.roles, cfg, lag, load)
					})
				}
			}
		}
	}
}

const benchmarkSeeds = 5

func measure(b *testing.B, roles []upstream.Role, cfg router.Config, lag time.Duration, load float64) {
	for b.Loop() {
		var all, short, long, least float64
		least = 1
		for seed := range uint64(benchmarkSeeds) {
			f := newFleet(seed+1, roles, 7, cfg, lag)
			r := f.run(fullLoad.times(load), 20*time.Second, 60*time.Second)
			s := share(r.shortWithinDeadline, r.shortOffered)
			all += float64(r.withinDeadline) / 40 / benchmarkSeeds
			short += s / benchmarkSeeds
			long += share(r.withinDeadline-r.shortWithinDeadline, r.offered-r.shortOffered) / benchmarkSeeds
			least = min(least, s)
		}
		b.ReportMetric(all, "answers/s")
		b.ReportMetric(short, "short")
		b.ReportMetric(least, "short-least")
		b.ReportMetric(long, "long")
	}
}
