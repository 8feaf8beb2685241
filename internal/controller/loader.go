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

// Numbers of the loading of models.
const (
	// loadEvery is the time between two looks for missing models.
	loadEvery = 2 * time.Second
	// loadsAtOnce is how many loads, over all data centres, share the weight
	// store's rate at a time.
	loadsAtOnce = 2
	// loadRest is the least time between two loads of an engine. One with
	// fewer places than models would otherwise load them in turn for ever.
	loadRest = 5 * time.Minute
)

// Loader has engines load models that they should serve and don't, as a
// replaced engine may come without. It is a suture service.
type Loader struct {
	engines   []settings.Upstream
	executors map[string]*Executor
	loads     *Loads
	view      *orders.View
	presence  *Presence
	weights   infra.WeightStore
	// limit is the weight store's rate in bytes a second, fresh the age up to
	// which an engine's report counts.
	limit float64
	fresh time.Duration
	log   *slog.Logger
}

// String names the service for the supervisor's log.
func (l *Loader) String() string { return "loading of models" }

// Serve looks until the context ends.
func (l *Loader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, loadEvery)
		for _, u := range l.engines {
			l.look(ctx, u)
		}
	}
	return ctx.Err()
}

func (l *Loader) look(ctx context.Context, u settings.Upstream) {
	x, own := l.executors[u.Name]
	if !own || l.presence.Leaving(u.Name) || busyLately(l.view.Snapshot().Engine(u.Name)) {
		return
	}
	if _, leads := x.keeper.Authority(); !leads {
		return
	}
	model, missing := l.missing(u)
	if !missing {
		return
	}
	w, err := l.want(ctx, model)
	if err != nil {
		l.log.Warn("model can't be loaded", "engine", u.Name, "model", model, "error", err)
		return
	}
	x.Ask(w)
}

// busyLately reports whether the engine is being changed or has loaded a model
// not long ago.
func busyLately(e orders.Engine) bool {
	if e.Open() != nil {
		return true
	}
	return e.Change != nil && e.Change.Kind == upstream.OrderModel && time.Since(e.Change.PhaseAt) < loadRest
}

// missing names a model that the engine should serve and reports not to have.
func (l *Loader) missing(u settings.Upstream) (string, bool) {
	r, ok := l.loads.of(u.Name)
	if !ok || r.age(time.Now()) > l.fresh || !r.report.InService {
		return "", false
	}
	for _, m := range u.Models {
		if !slices.Contains(r.report.Models, m) {
			return m, true
		}
	}
	return "", false
}

// want asks for the newest version of a model.
func (l *Loader) want(ctx context.Context, model string) (orders.ChangeRequest, error) {
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
		Reservation: &orders.Reservation{Bytes: newest.Bytes, BytesPerSec: l.limit / loadsAtOnce, LimitPerSec: l.limit},
	}, nil
}
