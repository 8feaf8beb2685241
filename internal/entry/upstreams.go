package entry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/pathwatch"
	"tamarackchute/internal/settings"
	"tamarackchute/upstream"
	"tamarackchute/upstreamlimit"
)

// Upstreams holds an adapter for each upstream of the deployment.
type Upstreams struct {
	engines  map[string]upstream.Engine
	services map[string]upstream.Service
	limits   *upstreamlimit.Book
	// limiter is set by shareLimits.
	limiter atomic.Pointer[upstreamlimit.Limiter]
	// paths is set by watch.
	paths atomic.Pointer[pathwatch.Watcher]
}

// NewUpstreams creates the adapters. Calls are bounded by their requests' deadlines,
// so o.Timeout should be at least the longest of those.
func NewUpstreams(d *settings.Deployment, o httpx.Options) *Upstreams {
	us := &Upstreams{engines: map[string]upstream.Engine{}, services: map[string]upstream.Service{}, limits: upstreamlimit.NewBook(nil)}
	for _, u := range d.Upstreams {
		o.Gate = limitGate{us, upstreamlimit.Upstream{ID: u.Name}}
		o.OnFailure = func() { us.failed(u.Pool) }
		if u.Kind == settings.KindEngine {
			us.engines[u.Name] = engineclient.New(u.Address, o)
		} else {
			us.services[u.Name] = serviceclient.New(u.Address, o)
		}
	}
	return us
}

// Engine returns the adapter of an engine, or nil if the name is unknown.
func (us *Upstreams) Engine(name string) upstream.Engine { return us.engines[name] }

// Service returns the adapter of a service, or nil if the name is unknown.
func (us *Upstreams) Service(name string) upstream.Service { return us.services[name] }

// Probe checks whether an upstream is running. Its error matches upstream.ErrNotSent if nothing
// listens at its address. Any response of an engine, also an error status, shows that it is running.
func (us *Upstreams) Probe(ctx context.Context, name string) error {
	var err error
	if engine := us.engines[name]; engine != nil {
		_, err = engine.Load(ctx)
	} else if service, ok := us.services[name].(interface{ Connect(context.Context) error }); ok {
		err = service.Connect(ctx)
	}
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("probe of %s: %v", name, err) // slow or cut off: no sign of a crash
	}
	return err
}

// watch makes failed connections known to what watches the paths.
func (us *Upstreams) watch(w *pathwatch.Watcher) { us.paths.Store(w) }

func (us *Upstreams) failed(pool string) {
	if w := us.paths.Load(); w != nil {
		w.Failed(pool)
	}
}

// shareLimits divides the limits that upstreams name among entries.
func (us *Upstreams) shareLimits(self string, entries []string) {
	l := upstreamlimit.NewLimiter(us.limits, self, false)
	l.SetMembers(entries)
	us.limiter.Store(l)
}

// limited reports whether an upstream's limit allows no request of this entry now.
func (us *Upstreams) limited(name string) bool {
	l := us.limiter.Load()
	return l != nil && l.Wait(upstreamlimit.Upstream{ID: name}) > 0
}

// limitGate keeps the limit of one upstream. Its starts aren't told apart: the first response of the
// next one says whether there still is a limit.
type limitGate struct {
	upstreams *Upstreams
	key       upstreamlimit.Upstream
}

// Admit implements httpx.Gate.
func (g limitGate) Admit() error {
	if l := g.upstreams.limiter.Load(); l != nil && !l.Take(g.key) {
		return upstream.ErrLimited
	}
	return nil
}

// Observe implements httpx.Gate.
func (g limitGate) Observe(limits []string, sentAt time.Time) {
	s := upstreamlimit.Statement{SentAt: sentAt, ReceivedAt: time.Now()}
	if len(limits) > 0 {
		perSecond, ok := upstreamlimit.Parse(limits)
		if !ok {
			return
		}
		s.Limited, s.PerSecond = true, perSecond
	}
	g.upstreams.limits.Observe(g.key, s)
}
