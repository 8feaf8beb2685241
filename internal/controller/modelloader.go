package controller

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/google/uuid"

	"tamarackchute/infra"
	"tamarackchute/internal/settings"
	"tamarackchute/orders"
	"tamarackchute/upstream"
)

// Timing and concurrency of model loads.
const (
	// loadCheckInterval is the time between two checks for missing models.
	loadCheckInterval = 2 * time.Second
	// maxConcurrentLoads is how many loads, over all data centres, share the weight store's
	// transfer rate.
	maxConcurrentLoads = 2
	// minLoadInterval is the minimum time between two loads on an engine. Without it, an
	// engine with fewer model slots than models would load them in turn for ever.
	minLoadInterval = 5 * time.Minute
)

// ModelLoader makes engines load models that they should serve but don't have, for example
// after an engine was replaced. It is a suture service.
type ModelLoader struct {
	engines     []settings.Upstream
	executors   map[string]*Executor
	loadReports *LoadPoller
	view        *orders.View
	instances   *Presence
	weights     infra.WeightStore
	// bytesPerSecond is the weight store's transfer rate; maxReportAge is the age up to which
	// an engine's load report is used.
	bytesPerSecond float64
	maxReportAge   time.Duration
	log            *slog.Logger
}

// String names the service for the supervisor's log.
func (l *ModelLoader) String() string { return "loading of models" }

// Serve checks for missing models until the context ends.
func (l *ModelLoader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, loadCheckInterval)
		for _, u := range l.engines {
			l.loadMissing(ctx, u)
		}
	}
	return ctx.Err()
}

func (l *ModelLoader) loadMissing(ctx context.Context, u settings.Upstream) {
	x, local := l.executors[u.Name]
	if !local || l.instances.TerminatingOrGone(u.Name) || changedRecently(l.view.Snapshot().Engine(u.Name)) {
		return
	}
	if _, leads := x.keeper.Authority(); !leads {
		return
	}
	model, missing := l.missingModel(u)
	if !missing {
		return
	}
	request, err := l.modelRequest(ctx, model)
	if err != nil {
		l.log.Warn("model version lookup failed", "engine", u.Name, "model", model, "error", err)
		return
	}
	x.Request(request)
}

// changedRecently reports whether a change of the engine is open or its last model load
// ended less than minLoadInterval ago.
func changedRecently(e orders.Engine) bool {
	if e.Open() != nil {
		return true
	}
	return e.Change != nil && e.Change.Kind == upstream.OrderModel && time.Since(e.Change.PhaseAt) < minLoadInterval
}

// missingModel returns a model that the engine should serve and doesn't report as loaded.
func (l *ModelLoader) missingModel(u settings.Upstream) (string, bool) {
	r, ok := l.loadReports.latest(u.Name)
	if !ok || r.age(time.Now()) > l.maxReportAge || !r.report.InService {
		return "", false
	}
	for _, m := range u.Models {
		if !slices.Contains(r.report.Models, m) {
			return m, true
		}
	}
	return "", false
}

// modelRequest returns a request to load the newest version of a model.
func (l *ModelLoader) modelRequest(ctx context.Context, model string) (orders.ChangeRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := l.weights.Versions(ctx, model)
	if err != nil {
		return orders.ChangeRequest{}, err
	}
	if len(versions) == 0 {
		return orders.ChangeRequest{}, fmt.Errorf("the weight store has no version of %q", model)
	}
	newest := versions[len(versions)-1]
	return orders.ChangeRequest{
		ID: uuid.NewString(), Kind: upstream.OrderModel,
		Target:      orders.Settings{Model: model, Version: newest.Version},
		Reason:      "the engine should serve the model and doesn't have it",
		Reservation: &orders.Reservation{Bytes: newest.Bytes, BytesPerSec: l.bytesPerSecond / maxConcurrentLoads, LimitPerSec: l.bytesPerSecond},
	}, nil
}
