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

// Times of the feeds.
const (
	// listEvery bounds, with the list's own lag, how long a leaving upstream
	// still gets new work.
	listInterval = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
	// reportEvery is the time between two questions to one engine.
	reportInterval   = 500 * time.Millisecond
	reportTimeout    = time.Second
	capacityInterval = 250 * time.Millisecond
)

// listFeed brings the platform's list to the router and to the membership.
type listFeed struct {
	list      infra.InstanceList
	consumers []func([]infra.Instance)
}

func (f *listFeed) String() string { return "platform's list" }

// Serve asks for the list until ctx ends. While the list can't be had, the last
// one counts: it is a hint that lags anyway.
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

// engineFeed brings one engine's load reports and cache events to the router.
type engineFeed struct {
	name    string
	engine  upstream.Engine
	tracker *router.Tracker
	seq     uint64
}

func (f *engineFeed) String() string { return "reports of " + f.name }

// Serve asks the engine until ctx ends. A report that fails to come leaves the
// last one, whose age the router allows for.
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

// capacityFeed tells admission, and the rules, what the engines can take.
type capacityFeed struct {
	deployment *settings.Deployment
	dataCentre string
	tracker    *router.Tracker
	admission  *admission.Controller
	load       *loadFraction
	entries    func() int
}

func (f *capacityFeed) String() string { return "capacity" }

// Serve sums the engines up until ctx ends.
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

// localShare is the reported work of the data centre's engines over what their
// batches hold.
func (f *capacityFeed) localLoad() float64 {
	requests, capacity := 0, 0
	for _, u := range f.tracker.Snapshot().Upstreams(time.Now()) {
		if u.Kind != infra.KindEngine || u.DataCentre != f.dataCentre || u.ShuttingDown || u.Draining {
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

// every runs a step at once and then at each interval until ctx ends.
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
