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
)

const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept: longer than callers
	// use one, so that none is closed under a request.
	idleTimeout = 90 * time.Second
	// maxHeader bounds a request's head in bytes.
	maxHeader = 64 << 10
	// endTimeout bounds the end of the servers after the drain.
	endTimeout = 100 * time.Millisecond
)

// httpService is one HTTP interface as a supervised service.
type httpService struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// String names the service for the supervisor.
func (s *httpService) String() string { return s.name }

// Serve implements suture.Service.
func (s *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), endTimeout)
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

// listen binds all interfaces, so that a taken address ends the start.
func (m *Member) listen() ([]*httpService, error) {
	s := m.cfg.Settings
	handlers := []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", s.Callers, m.relay},
		{"ready", s.Ready, m.cfg.ReadyHandler(m.Ready)},
		{"directory", s.Directory, m.cfg.DirectoryHandler(m)},
		{"metrics", s.Metrics, m.operatorsPages()},
	}
	var services []*httpService
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		l, err := net.Listen("tcp", h.address)
		if err != nil {
			return nil, eris.Wrapf(err, "%s: address %s can't be taken", h.name, h.address)
		}
		conns := m.pages
		if h.address == s.Callers {
			conns = m.callers
		}
		server := newServer(h.handler)
		server.ConnState = conns.ConnState
		services = append(services, &httpService{name: h.name, listener: conns.Listen(l), server: server})
	}
	return services, nil
}

// metricsPage shows the counters and histograms, and what is believed now.
func (m *Member) metricsPage(w http.ResponseWriter, _ *http.Request) {
	m.gauges()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if _, err := m.cfg.Metrics.Page.WriteTo(w); err != nil {
		m.log.Warn("metrics page not written", "err", err)
	}
}

// gauges brings the figures of the state up to date.
func (m *Member) gauges() {
	s := m.cfg.Metrics.Scope
	about := m.about()
	s.Gauge("config_version").Update(float64(about.Config))
	s.Gauge("store_era").Update(float64(m.cfg.Store.Eras().Current()))
	s.Gauge("upstreams").Update(float64(len(m.state.Snapshot().Upstreams)))
	s.Gauge("upstreams_age_seconds").Update(about.ReadAge.Seconds())
	s.Gauge("daemons_known").Update(float64(m.peers.Known()))
	s.Gauge("daemons_serving").Update(float64(len(m.peers.Up())))
	collects := 0.0
	if m.peers.Collects() {
		collects = 1
	}
	s.Gauge("collects_loads").Update(collects)
	s.Gauge("requests_active").Update(float64(m.relay.Active()))
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          log.New(io.Discard, "", 0), // broken connections of callers, one line each
	}
}
