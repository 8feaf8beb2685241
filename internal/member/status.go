package member

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"tamarackchute/freshness"
	"tamarackchute/internal/daemonstatus"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/telemetry"
)

// Status returns the daemon's current view of itself and its surroundings.
func (m *Member) Status() daemonstatus.Daemon {
	summary := m.summary()
	d := daemonstatus.Daemon{
		Instance: m.self.Instance, DataCentre: m.self.DataCentre, Callers: m.self.Callers,
		Ready: summary.Serving, ShuttingDown: m.shuttingDown.Load(), Requests: m.relay.Active(),
		LostPools: summary.LostPools, ConfigVersion: summary.Config, StoreEra: m.cfg.Store.Eras().Current(), UpstreamsAgeMS: telemetry.Millis(summary.ListAge),
		Peers: m.peers.peerStatuses(time.Now()), Upstreams: m.upstreamStatuses(m.state.Snapshot()), RetryBudgets: []daemonstatus.RetryBudget{},
	}
	standing := m.configAge.Standing()
	d.ConfigAgeMS, d.NewestConfig, d.ConfigRejected = freshness.Millis(standing.Age), standing.Newest, m.configs.lastRejection.Load()
	m.addKeyStatus(&d)
	m.quarantine.addStatus(&d)
	if l := m.lease.Load(); l != nil {
		d.Lease = *l
	}
	for _, b := range m.retryBudget.State() {
		d.RetryBudgets = append(d.RetryBudgets, daemonstatus.RetryBudget{Pool: b.Pool, Requests: b.Requests, Retries: b.Retries, Allowed: b.Allowed})
	}
	return d
}

// addKeyStatus adds what is known of API keys.
func (m *Member) addKeyStatus(d *daemonstatus.Daemon) {
	c := m.state.Snapshot().Config
	if c == nil || c.Keys == nil {
		return
	}
	for _, o := range c.Keys.Organisations() {
		status := daemonstatus.Organisation{Name: o.Name, Keys: make([]string, 0, len(o.Keys))}
		for _, key := range o.Keys {
			status.Keys = append(status.Keys, key.Fingerprint())
		}
		d.Organisations = append(d.Organisations, status)
	}
	if m.configAge.enforcesKeys() {
		usable, age := m.configAge.keysUsable(), freshness.Millis(m.configAge.age(m.configAge.now()))
		d.KeysUsable, d.KeysProvenAgeMS = &usable, &age
	}
}

func (m *Member) upstreamStatuses(s *fleet.Snapshot) []daemonstatus.Upstream {
	all := make([]daemonstatus.Upstream, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		r := daemonstatus.Upstream{
			ID: u.ID, Pool: u.Pool, Address: u.Address, DataCentre: u.DataCentre, Role: string(u.Role),
			Draining: u.Draining, Slots: u.Slots,
		}
		if engines := m.tracker.Engines([]string{u.ID}); len(engines) > 0 {
			r.Usable, r.Running = !u.Draining, engines[0].Running
		}
		m.limits.addStatus(&r, u)
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b daemonstatus.Upstream) int {
		return strings.Compare(a.Pool+"\x00"+a.ID, b.Pool+"\x00"+b.ID)
	})
	return all
}

// peerStatuses returns the other daemons, ordered by instance name.
func (p *Peers) peerStatuses(now time.Time) []daemonstatus.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]daemonstatus.Peer, 0, len(p.peers))
	for _, other := range p.peers {
		all = append(all, daemonstatus.Peer{
			Instance: other.Instance, DataCentre: other.DataCentre, Up: other.up, Serving: other.summary.Serving, PathLost: other.summary.PathLost,
			UpdateAgeMS: telemetry.Millis(now.Sub(other.lastUpdate)), ConfigVersion: other.summary.Config,
		})
	}
	slices.SortFunc(all, func(a, b daemonstatus.Peer) int { return strings.Compare(a.Instance, b.Instance) })
	return all
}

func (m *Member) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(m.Status()); err != nil {
		m.log.Warn("writing the status page failed", "err", err)
	}
}

// operatorHandler serves the metrics address.
func (m *Member) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+daemonstatus.Path, m.serveStatus)
	mux.HandleFunc("POST "+daemonstatus.ReleasePath, m.quarantine.serveRelease)
	mux.HandleFunc("GET /", m.serveMetrics)
	return mux
}
