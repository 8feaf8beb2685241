package entry

import (
	"context"
	"time"

	"tamarackchute/admission"
	"tamarackchute/infra"
	"tamarackchute/internal/settings"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

// Intervals and timeouts of the feeds.
const (
	// listInterval plus the list's own lag bounds how long a terminating upstream
	// still gets new work.
	listInterval = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
	// reportInterval is the time between two polls of one engine.
	reportInterval   = 500 * time.Millisecond
	reportTimeout    = time.Second
	capacityInterval = 250 * time.Millisecond
)

// listFeed passes the platform's instance list to the router and the membership.
type listFeed struct {
	list      infra.InstanceList
	consumers []func([]infra.Instance)
}

func (f *listFeed) String() string { return "platform's list" }

// Serve polls the list until ctx ends. While the list is unavailable, the last one
// remains in use: it is only a hint and lags anyway.
func (f *listFeed) Serve(ctx context.Context) error {
	return runEvery(ctx, listInterval, func() {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		list, err := f.list.Instances(callCtx)
		if err != nil {
			return
		}
		for _, consume := range f.consumers {
			consume(list)
		}
	})
}

// engineFeed passes one engine's load reports and cache events to the router.
type engineFeed struct {
	name    string
	engine  upstream.Engine
	tracker *router.Tracker
	seq     uint64
}

func (f *engineFeed) String() string { return "reports of " + f.name }

// Serve polls the engine until ctx ends. If a poll fails, the last report remains in
// use; the router takes its age into account.
func (f *engineFeed) Serve(ctx context.Context) error {
	return runEvery(ctx, reportInterval, func() {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		report, err := f.engine.Load(callCtx)
		if err != nil {
			return
		}
		f.tracker.SetLoadReport(f.name, report, time.Now())
		events, err := f.engine.CacheEvents(callCtx, f.seq)
		if err != nil || len(events) == 0 {
			return
		}
		f.tracker.ApplyCacheEvents(f.name, events)
		f.seq = events[len(events)-1].Seq
	})
}

// capacityFeed passes the engines' capacity to admission and their load to the rules.
type capacityFeed struct {
	deployment *settings.Deployment
	dataCentre string
	tracker    *router.Tracker
	admission  *admission.Controller
	load       *loadFraction
	entries    func() int
}

func (f *capacityFeed) String() string { return "capacity" }

// Serve updates the capacity and the load until ctx ends.
func (f *capacityFeed) Serve(ctx context.Context) error {
	pools := poolModels(f.deployment)
	return runEvery(ctx, capacityInterval, func() {
		entries := f.entries()
		for _, pm := range pools {
			sum := f.tracker.PoolLoad(pm.pool, pm.model)
			f.admission.SetCapacity(pm.pool, pm.model, admission.Capacity{
				Engines:          sum.Engines,
				Entries:          entries,
				PrefillPerSecond: sum.PrefillPerSecond,
				DecodePerSecond:  sum.DecodePerSecond,
			})
		}
		f.load.set(f.localLoad())
	})
}

// localLoad returns the requests at the data centre's engines, as reported and
// corrected by local changes, divided by the total batch size.
func (f *capacityFeed) localLoad() float64 {
	requests, capacity := 0, 0
	for _, u := range f.tracker.Snapshot().Upstreams(time.Now()) {
		if u.Kind != infra.KindEngine || u.DataCentre != f.dataCentre || u.Terminating || u.Draining {
			continue
		}
		requests += max(0, u.Report.Running+u.Report.Waiting+u.LocalDelta.Requests)
		capacity += u.Report.MaxBatch
	}
	if capacity == 0 {
		return 0
	}
	return float64(requests) / float64(capacity)
}

// runEvery runs a step immediately and then at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, step func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
