package standin

import (
	"context"
	"crypto/tls"
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"tamarackchute/infra"
	"tamarackchute/internal/settings"
	"tamarackchute/upstream"
)

// NamePlatform stands for the log, the instance list and the weight store.
const NamePlatform = "platform"

// Config configures the stand-ins of a deployment.
type Config struct {
	Deployment *settings.Deployment
	// Only names the components to run: NamePlatform and names of upstreams. Empty means
	// all.
	Only []string
	// ControlAddr is the address of the control API; empty for none.
	ControlAddr string
	// TLS is for listening, ClientTLS for requests between components; nil for plain TCP.
	TLS, ClientTLS *tls.Config
	// LogAppendsPerSecond is the log's rate limit over all writers.
	LogAppendsPerSecond float64
	// Retention is how long the log keeps a record; 0 for the value from the settings.
	Retention time.Duration
	// ListLag is how long the instance list takes to show a change.
	ListLag time.Duration
	// ServiceLatency is the duration of a call to a plain service.
	ServiceLatency time.Duration
	// WeightBytes is the size of each version of a model.
	WeightBytes int64
	Speed       Speed
}

// Defaults for Config.
const (
	DefaultLogAppendsPerSecond = 300
	DefaultListLag             = 2 * time.Second
	DefaultServiceLatency      = 5 * time.Millisecond
	DefaultWeightBytes         = 16 << 30
)

// The versions of each model; engines start with the first one.
const (
	firstVersion  = "v1"
	secondVersion = "v2"
)

// terminable is a component that is notified whether the list shows it as terminating.
type terminable interface {
	Component
	SetTerminating(terminating bool)
}

// Set is all stand-ins of a deployment.
type Set struct {
	components []Component
	upstreams  []terminable
	control    *ControlServer
	runs       *RunCounter
}

// NewSet creates the stand-ins, which are already listening.
func NewSet(c Config) (*Set, error) {
	s := &Set{runs: NewRunCounter()}
	err := s.build(c)
	if err != nil {
		s.closeAll()
		return nil, err
	}
	return s, nil
}

func (s *Set) build(c Config) error {
	if err := checkNames(c); err != nil {
		return err
	}
	if c.includes(NamePlatform) {
		if err := s.buildPlatform(c); err != nil {
			return err
		}
	}
	for _, u := range c.Deployment.Upstreams {
		if !c.includes(u.Name) {
			continue
		}
		if err := s.buildUpstream(c, u); err != nil {
			return err
		}
	}
	if c.ControlAddr == "" {
		return nil
	}
	control, err := NewControlServer(c.ControlAddr, c.TLS, s.components)
	s.control = control
	return err
}

func (c Config) includes(name string) bool {
	return len(c.Only) == 0 || slices.Contains(c.Only, name)
}

func checkNames(c Config) error {
	for _, name := range c.Only {
		known := name == NamePlatform || slices.ContainsFunc(c.Deployment.Upstreams,
			func(u settings.Upstream) bool { return u.Name == name })
		if !known {
			return eris.Errorf("unknown stand-in %q", name)
		}
	}
	return nil
}

func (s *Set) buildPlatform(c Config) error {
	p := c.Deployment.Platform
	retention := c.Retention
	if retention <= 0 {
		retention = time.Duration(p.RetentionSeconds * float64(time.Second))
	}
	log, err := NewLog(LogConfig{
		Addr: p.Log, TLS: c.TLS, AppendsPerSecond: c.LogAppendsPerSecond, Retention: retention,
	})
	if err != nil {
		return err
	}
	s.components = append(s.components, log)
	list, err := NewList(ListConfig{
		Addr: p.Instances, TLS: c.TLS, Lag: c.ListLag, Instances: listedInstances(c.Deployment), OnTerminating: s.onTerminating,
	})
	if err != nil {
		return err
	}
	s.components = append(s.components, list)
	weights, err := NewWeightStore(WeightStoreConfig{
		Addr: p.Weights, TLS: c.TLS, BytesPerSecond: p.WeightBytesPerSecond, Versions: versions(c),
	})
	if err != nil {
		return err
	}
	s.components = append(s.components, weights)
	return nil
}

func (s *Set) buildUpstream(c Config, u settings.Upstream) error {
	var component terminable
	var err error
	if u.Kind == settings.KindEngine {
		component, err = NewEngine(EngineConfig{
			Name:            u.Name,
			Addr:            u.Address,
			TLS:             c.TLS,
			ClientTLS:       c.ClientTLS,
			Models:          u.Models,
			Role:            upstream.Role(u.Role),
			ChecksFencing:   u.Fencing != settings.FencingNone,
			WeightStoreAddr: c.Deployment.Platform.Weights,
			Speed:           c.Speed,
		})
	} else {
		component, err = NewService(ServiceConfig{
			Name: u.Name, Addr: u.Address, TLS: c.TLS, Latency: c.ServiceLatency, RunCounter: s.runs,
		})
	}
	if err != nil {
		return err
	}
	s.components = append(s.components, component)
	s.upstreams = append(s.upstreams, component)
	return nil
}

func listedInstances(d *settings.Deployment) []infra.Instance {
	var instances []infra.Instance
	for _, i := range d.Instances {
		instances = append(instances, infra.Instance{Name: i.Name, Kind: infra.KindEntry, DataCentre: i.DataCentre})
	}
	for _, u := range d.Upstreams {
		kind := infra.KindService
		if u.Kind == settings.KindEngine {
			kind = infra.KindEngine
		}
		instances = append(instances, infra.Instance{Name: u.Name, Kind: kind, DataCentre: u.DataCentre})
	}
	return instances
}

// versions returns two versions for each model of the deployment.
func versions(c Config) []infra.WeightVersion {
	var out []infra.WeightVersion
	seen := map[string]bool{}
	for _, u := range c.Deployment.Upstreams {
		for _, m := range u.Models {
			if seen[m] {
				continue
			}
			seen[m] = true
			for _, v := range []string{firstVersion, secondVersion} {
				out = append(out, infra.WeightVersion{Model: m, Version: v, Bytes: c.WeightBytes})
			}
		}
	}
	return out
}

func (s *Set) onTerminating(names []string) {
	for _, u := range s.upstreams {
		u.SetTerminating(slices.Contains(names, u.Name()))
	}
}

// Components returns the components.
func (s *Set) Components() []Component { return s.components }

// ControlAddr returns the address of the control API, or "" if there is none.
func (s *Set) ControlAddr() string {
	if s.control == nil {
		return ""
	}
	return s.control.Addr()
}

// Serve runs all components until ctx ends.
func (s *Set) Serve(ctx context.Context) error {
	sup := suture.New("standin", suture.Spec{EventHook: func(e suture.Event) {
		slog.Error("stand-in", "event", e.String())
	}})
	for _, component := range s.components {
		sup.Add(component)
	}
	if s.control != nil {
		sup.Add(s.control)
	}
	return sup.Serve(ctx)
}

// closeAll closes the open listeners after NewSet has failed.
func (s *Set) closeAll() {
	for _, component := range s.components {
		if l, ok := component.(interface{ closeListener() }); ok {
			l.closeListener()
		}
	}
}
