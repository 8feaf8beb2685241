package capacity

import (
	"math/rand/v2"
	"time"

	"tamarackchute/infra"
	"tamarackchute/internal/settings"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

// The sizes that most experiments over a fleet share: today's, some between,
// and the target's.
var (
	upstreamSizes = []int{11, 15, 500, 2000, 6900}
	instanceSizes = []int{7, 50, 170, 600, 1700}
)

// routerExperiments measure the entry's routing state and its decisions.
func routerExperiments() []Experiment {
	return []Experiment{
		{
			ID: "router.state", Unit: Bytes, Per: "upstream", Method: MethodHeap, Sizes: upstreamSizes,
			Measure: func(n int) (float64, error) {
				return heapOf(func() any { return newTracker(n, 6) }), nil
			},
		},
		{
			ID: "router.pick", Unit: Nanos, Per: "candidate", Method: MethodCPU, Sizes: []int{8, 11, 100, 400, 1150},
			Measure: measurePick,
		},
		{
			ID: "router.books", Unit: Nanos, Per: "token", Method: MethodCPU, Sizes: []int{1, 100, 300, 1000},
			Measure: measureBooks,
		},
		{
			ID: "router.report", Unit: Nanos, Per: "upstream", Method: MethodCPU, Sizes: upstreamSizes,
			Measure: measureReport,
		},
		{
			ID: "router.rebuild", Unit: Nanos, Per: "upstream", Method: MethodCPU, Sizes: upstreamSizes,
			Measure: measureRebuild,
		},
		{
			ID: "router.list", Unit: Nanos, Per: "row", Method: MethodCPU, Sizes: upstreamSizes,
			Measure: measureRouterList,
		},
		{
			ID: "router.capacity", Unit: Nanos, Per: "upstream", Method: MethodCPU, Sizes: upstreamSizes,
			Measure: measureCapacity,
		},
		{
			ID: "router.prefix", Unit: Bytes, Per: "block", Method: MethodHeap, Sizes: []int{8192, 32768, 131072},
			Measure: measurePrefixState,
		},
		{
			ID: "router.prefix_events", Unit: Nanos, Per: "event", Method: MethodCPU, Sizes: []int{20_000, 50_000, 100_000},
			Measure: measurePrefixEvents,
		},
	}
}

// newTracker returns the router's state over a fleet whose engines have all
// reported.
func newTracker(engines, models int) *router.Tracker {
	size := targetSize
	size.Engines, size.Models = engines, models
	return trackerOf(Fleet(size))
}

func trackerOf(d *settings.Deployment) *router.Tracker {
	home := d.DataCentres[0].Name
	cfg := router.DefaultConfig(home)
	for _, l := range d.Links {
		oneWay := time.Duration(l.OneWayMillis * float64(time.Millisecond))
		cfg.Links = append(cfg.Links, router.Link{From: l.From, To: l.To, OneWay: oneWay})
	}
	ups := make([]router.Upstream, len(d.Upstreams))
	for i, u := range d.Upstreams {
		ups[i] = router.Upstream{
			Name: u.Name, Kind: infra.KindEngine, Pool: u.Pool, DataCentre: u.DataCentre,
			Models: u.Models, Role: upstream.Role(u.Role),
		}
	}
	t := router.NewTracker(cfg, ups, nil)
	now := time.Now()
	for i, u := range d.Upstreams {
		t.SetReport(u.Name, report(u, i, now), now)
	}
	return t
}

// report is a load report in the middle of a busy day.
func report(u settings.Upstream, i int, at time.Time) upstream.LoadReport {
	return upstream.LoadReport{
		At: at, AgeMillis: 500, Role: upstream.Role(u.Role), InService: true,
		Running: 8 + i%17, Waiting: i % 3, QueuedPrompt: 100 * (i % 7),
		KVUsedTokens: 20_000 + 31*(i%100), KVTotalTokens: 200_000,
		PrefillPerSec: 5000, DecodePerSec: 640, MaxBatch: 32, Models: u.Models,
	}
}

const (
	promptTokens = 600
	outputTokens = 300
)

// routed is a request of usual length for the first model.
func routed() router.Request {
	blocks := make([]uint64, promptTokens/router.BlockTokens)
	for i := range blocks {
		blocks[i] = rand.Uint64()
	}
	return router.Request{
		Pool: enginePool, Model: model(0), Organisation: "organisation-1",
		PromptTokens: promptTokens, OutputTokens: outputTokens, PrefixBlocks: blocks,
		Deadline: time.Now().Add(time.Hour),
	}
}

func measurePick(candidates int) (float64, error) {
	t := newTracker(candidates, 1)
	r := routed()
	var err error
	ns := cpuOf(func() {
		if _, e := t.Pick(r); e != nil {
			err = e
		}
	})
	return ns, err
}

// measureBooks is one request from its booking to its end, by its tokens.
func measureBooks(tokens int) (float64, error) {
	t := newTracker(100, 1)
	r := routed()
	plan, err := t.Pick(r)
	if err != nil {
		return 0, err
	}
	return cpuOf(func() {
		k := t.Begin(plan, r)
		if plan.Prefill != "" {
			k.Prefilled()
		}
		k.FirstToken()
		for range tokens {
			k.Tokens(1)
		}
		k.End(router.OutcomeOK)
	}), nil
}

// measureReport is one report that changes no role, over a fleet of n.
func measureReport(n int) (float64, error) {
	d := engineFleet(n)
	t := trackerOf(d)
	u := d.Upstreams[0]
	at := time.Now()
	return cpuOf(func() {
		at = at.Add(time.Millisecond)
		t.SetReport(u.Name, report(u, 0, at), at)
	}), nil
}

// measureRebuild is the snapshot made anew after one role change.
func measureRebuild(n int) (float64, error) {
	d := engineFleet(n)
	t := trackerOf(d)
	role := upstream.RolePrefill
	return cpuOf(func() {
		if role == upstream.RolePrefill {
			role = upstream.RoleDecode
		} else {
			role = upstream.RolePrefill
		}
		t.SetRole(d.Upstreams[0].Name, role)
	}), nil
}

func engineFleet(n int) *settings.Deployment {
	size := targetSize
	size.Engines = n
	return Fleet(size)
}

// listRows is the platform's list of a fleet's upstreams.
func listRows(d *settings.Deployment) []infra.Instance {
	rows := make([]infra.Instance, 0, len(d.Instances)+len(d.Upstreams))
	for _, in := range d.Instances {
		rows = append(rows, infra.Instance{Name: in.Name, Kind: infra.KindEntry, DataCentre: in.DataCentre})
	}
	for _, u := range d.Upstreams {
		rows = append(rows, infra.Instance{Name: u.Name, Kind: infra.KindEngine, DataCentre: u.DataCentre})
	}
	return rows
}

func measureRouterList(n int) (float64, error) {
	d := engineFleet(n)
	d.Instances = nil
	t := trackerOf(d)
	rows := listRows(d)
	return cpuOf(func() { t.SetList(rows) }), nil
}

// measureCapacity is the entry's sum over all pools and over its own data
// centre, as its capacity feed makes it.
func measureCapacity(n int) (float64, error) {
	t := trackerOf(engineFleet(n))
	return cpuOf(func() {
		for m := range targetSize.Models {
			t.PoolLoad(enginePool, model(m))
		}
		_ = t.Snapshot().Upstreams(time.Now())
	}), nil
}

// cacheEvents are n events of one engine about blocks never seen before.
func cacheEvents(n int, from uint64) []upstream.CacheEvent {
	events := make([]upstream.CacheEvent, n)
	for i := range events {
		events[i] = upstream.CacheEvent{Seq: from + uint64(i) + 1, Block: rand.Uint64(), Stored: true}
	}
	return events
}

func measurePrefixState(blocks int) (float64, error) {
	name := engineFleet(1).Upstreams[0].Name
	return heapOf(func() any {
		t := newTracker(11, 1)
		t.SetCacheEvents(name, cacheEvents(blocks, 0))
		return t
	}), nil
}

func measurePrefixEvents(n int) (float64, error) {
	t := newTracker(11, 1)
	name := engineFleet(1).Upstreams[0].Name
	seq := uint64(0)
	return cpuOnce(func() {
		t.SetCacheEvents(name, cacheEvents(n, seq))
		seq += uint64(n)
	}), nil
}
