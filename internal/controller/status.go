package controller

import (
	"maps"
	"slices"
	"time"

	"tamarackchute/internal/operator"
	"tamarackchute/internal/settings"
	"tamarackchute/lease"
)

func (c *Controller) operatorServer() *OperatorServer {
	return &OperatorServer{
		addr: c.self.ControllerOperators, tls: c.cfg.ServerTLS,
		metrics: c.cfg.Metrics.Page, status: c.Status, ready: c.ready,
		authorise: operator.RequireToken(c.cfg.Deployment.Security.Operators, c.log),
	}
}

// ready reports whether the log has been read to its end once.
func (c *Controller) ready() bool {
	select {
	case <-c.journal.CaughtUp():
		return true
	default:
		return false
	}
}

func (c *Controller) scopeNames() []string { return slices.Sorted(maps.Keys(c.keepers)) }

// Status returns the state that the operators' status page shows.
func (c *Controller) Status() Status {
	s := Status{
		Instance: c.cfg.Instance, DataCentre: c.self.DataCentre, Incarnation: c.incarnation,
		LogUp: c.journal.Health().LogUp, StatusAgeMillis: map[string]int64{},
	}
	scopes := c.leases.Snapshot().Scopes
	for _, name := range slices.Sorted(maps.Keys(scopes)) {
		s.Scopes = append(s.Scopes, c.scopeStatus(scopes[name]))
	}
	for _, u := range c.cfg.Deployment.Upstreams {
		if x, ok := c.executors[u.Name]; ok {
			s.Engines = append(s.Engines, c.engineStatus(u, x))
		}
	}
	for name, age := range c.entryStatuses.Ages(time.Now()) {
		s.StatusAgeMillis[name] = age.Milliseconds()
	}
	return s
}

func (c *Controller) scopeStatus(s lease.ScopeState) ScopeStatus {
	out := ScopeStatus{Scope: s.Scope, FencingToken: s.FencingToken, Since: s.Since, Basis: s.Basis.String()}
	if s.Held {
		out.Holder = s.Holder
	}
	if k, ok := c.keepers[s.Scope]; ok {
		_, out.Leading = k.Authority()
	}
	return out
}

func (c *Controller) engineStatus(u settings.Upstream, x *Executor) EngineStatus {
	known := c.changes.Snapshot().Engine(u.Name)
	activity, state, _ := x.lastSeen()
	out := EngineStatus{
		Engine: u.Name, Scope: ScopeOf(u), Observed: known.Observed, Change: known.Change,
		Open: known.Open() != nil, Activity: activity, Busy: state.Busy, Running: state.Running,
		FencingToken: state.FencingToken, LastOrder: state.LastOrder, Incarnation: state.Incarnation,
	}
	if known.Change != nil {
		out.Phase = known.Change.Phase.String()
	}
	return out
}
