package entry

import (
	"context"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/settings"
	"tamarackchute/upstream"
)

// Upstreams holds an adapter for each upstream of the deployment.
type Upstreams struct {
	engines  map[string]upstream.Engine
	services map[string]upstream.Service
}

// NewUpstreams creates the adapters. Calls are bounded by their requests' deadlines,
// so o.Timeout should be at least the longest of those.
func NewUpstreams(d *settings.Deployment, o httpx.Options) *Upstreams {
	us := &Upstreams{engines: map[string]upstream.Engine{}, services: map[string]upstream.Service{}}
	for _, u := range d.Upstreams {
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

// Probe checks whether an engine responds; any response, also an error status, shows
// that it is running.
func (us *Upstreams) Probe(ctx context.Context, name string) error {
	engine := us.engines[name]
	if engine == nil {
		return upstream.ErrNotSent
	}
	_, err := engine.Load(ctx)
	return err
}
