package member

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/graceful"
)

const (
	// headerReadTimeout limits the time to read a request's header.
	headerReadTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept. It is longer than callers keep one, so
	// that no connection is closed while a request is being sent on it.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
	// shutdownTimeout limits the shutdown of the servers after the drain.
	shutdownTimeout = 100 * time.Millisecond
)

// httpService is an HTTP server run as a supervised service.
type httpService struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// String implements fmt.Stringer; the supervisor logs it.
func (s *httpService) String() string { return s.name }

// Serve implements suture.Service.
func (s *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.server.Shutdown(end) // requests still in progress are cut off by the exit
	})
	defer stop()
	err := s.server.Serve(s.listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return eris.Wrap(err, s.name)
}

// listen binds all addresses, so that the start fails if one is in use.
func (m *Member) listen() ([]*httpService, error) {
	s := m.cfg.Settings
	handlers := []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", s.Callers, m.relay},
		{"forwarded", s.ForwardAddress, m.relay.ForwardedHandler()},
		{"ready", s.Ready, withoutBody(m.cfg.ReadyHandler(m.Ready))},
		{"directory", s.Directory, withoutBody(m.cfg.DirectoryHandler(m))},
		{"metrics", s.Metrics, withoutBody(m.operatorHandler())},
	}
	var services []*httpService
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		l, err := graceful.Bind(h.address)
		if err != nil {
			return nil, eris.Wrapf(err, "%s: can't listen on %s", h.name, h.address)
		}
		conns := m.otherConns
		if h.address == s.Callers || h.address == s.ForwardAddress {
			conns = m.callerConns
		}
		server := newServer(h.handler)
		server.ConnState = conns.ConnState
		services = append(services, &httpService{name: h.name, listener: conns.Listen(l), server: server})
	}
	return services, nil
}

// serveMetrics writes the counters, histograms and current gauges.
func (m *Member) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	m.updateGauges()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if _, err := m.cfg.Metrics.Page.WriteTo(w); err != nil {
		m.log.Warn("writing the metrics page failed", "err", err)
	}
}

// updateGauges sets the gauges from the current state.
func (m *Member) updateGauges() {
	s := m.cfg.Metrics.Scope
	summary := m.summary()
	s.Gauge("config_version").Update(float64(summary.Config))
	standing := m.configAge.Standing()
	s.Gauge("config_age_seconds").Update(standing.Age.Seconds())
	s.Gauge("newest_config_named").Update(float64(standing.Newest))
	s.Gauge("store_era").Update(float64(m.cfg.Store.Eras().Current()))
	s.Gauge("upstreams").Update(float64(len(m.state.Snapshot().Upstreams)))
	s.Gauge("upstreams_age_seconds").Update(summary.ListAge.Seconds())
	s.Gauge("daemons_known").Update(float64(m.peers.KnownCount()))
	s.Gauge("daemons_serving").Update(float64(len(m.peers.Serving())))
	if m.configAge.enforcesKeys() {
		usable := 0.0
		if m.configAge.keysUsable() {
			usable = 1
		}
		s.Gauge("keys_usable").Update(usable)
		s.Gauge("keys_proven_age_seconds").Update(m.configAge.age(m.configAge.now()).Seconds())
	}
	s.Gauge("pools_without_path").Update(float64(len(summary.LostPools)))
	isRoot := 0.0
	if m.peers.IsRoot() {
		isRoot = 1
	}
	s.Gauge("collects_loads").Update(isRoot)
	s.Gauge("requests_active").Update(float64(m.relay.Active()))
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ConnContext:       graceful.ConnContext,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Otherwise net/http answers "OPTIONS *" with a success of its own.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(io.Discard, "", 0), // broken connections of callers would log one line each
	}
}
