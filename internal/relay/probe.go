package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/internal/crash"
	"tamarackchute/internal/exchange"
	"tamarackchute/internal/patience"
	"tamarackchute/upstream"
)

const (
	// probeHeader carries an upstreamProbe to another daemon.
	probeHeader = "Tamarackchute-Probe"
	// maxProbingPeers is the number of daemons that are asked whether they reach an upstream.
	maxProbingPeers = 2
	// peerProbeTimeout limits the time to ask them; peerConnectTimeout is the part of it for the
	// connection to the upstream. Both count only while the waiting process runs.
	peerProbeTimeout   = 120 * time.Millisecond
	peerConnectTimeout = 80 * time.Millisecond
)

// upstreamProbe asks another daemon whether it reaches an incarnation of an upstream.
type upstreamProbe struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	// Incarnation is the one by which the crash detector knows it.
	Incarnation string
}

// ProbeEngine connects to an upstream. It returns an error that matches upstream.ErrNotSent if
// nothing listens there although the upstream should be serving, and other daemons don't reach it
// either: a connection that is refused here only is this daemon's lost path.
func (r *Relay) ProbeEngine(ctx context.Context, e crash.Engine) error {
	err := r.connectTo(ctx, e)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	if peer := r.reachedBy(ctx, e); peer != "" {
		r.metrics.recordContradicted()
		r.cfg.Logger.Warn("upstream refuses connections here only", "upstream", e.ID, "incarnation", e.Incarnation, "reached_by", peer, "err", err)
		return fmt.Errorf("another daemon reaches the upstream: %w", err)
	}
	return fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
}

// connectTo connects to an incarnation of an upstream. It does nothing if that isn't listed, or is
// about to stop.
func (r *Relay) connectTo(ctx context.Context, e crash.Engine) error {
	u := r.cfg.State.Snapshot().Upstreams[e.ID]
	if u == nil || u.Draining || crashEngine(u) != e {
		return nil
	}
	return r.connsTo(u).Connect(ctx)
}

// reachedBy asks other daemons whether they reach an upstream, and returns the name of one that
// does; empty if none does or none responds.
func (r *Relay) reachedBy(ctx context.Context, e crash.Engine) string {
	u := r.cfg.State.Snapshot().Upstreams[e.ID]
	if u == nil || r.cfg.ForwardPeers == nil {
		return ""
	}
	peers := r.forwarder.usable(r.cfg.ForwardPeers(u.Pool), anyPeer, time.Now())
	ctx, cancel := patience.WithTimeout(ctx, peerProbeTimeout)
	defer cancel()
	reached := make(chan string, maxProbingPeers)
	var asked conc.WaitGroup
	for _, peer := range peers[:min(len(peers), maxProbingPeers)] {
		asked.Go(func() {
			if r.askPeer(ctx, peer, e) {
				reached <- peer.Instance
				cancel()
			}
		})
	}
	asked.Wait()
	select {
	case name := <-reached:
		return name
	default:
		return ""
	}
}

// askPeer asks one daemon whether it reaches an upstream.
func (r *Relay) askPeer(ctx context.Context, peer ForwardPeer, e crash.Engine) bool {
	h := http.Header{}
	h.Set(probeHeader, encodeHeader(upstreamProbe{ID: e.ID, Incarnation: e.Incarnation}))
	resp, err := r.forwarder.connsTo(peer).Do(ctx, &exchange.Request{Method: http.MethodGet, Target: "/", Host: peer.Address, Header: h})
	if err != nil {
		return false
	}
	defer resp.Close()
	return resp.Status == http.StatusNoContent
}

// serveProbe answers another daemon's question whether this one reaches an upstream.
func (r *Relay) serveProbe(w http.ResponseWriter, in *http.Request) {
	var probe upstreamProbe
	if err := decodeHeader(in.Header, probeHeader, &probe); err != nil {
		http.Error(w, "the probe can't be decoded: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := patience.WithTimeout(in.Context(), peerConnectTimeout)
	defer cancel()
	e := crash.Engine{ID: probe.ID, Incarnation: probe.Incarnation}
	u := r.cfg.State.Snapshot().Upstreams[e.ID]
	if u == nil || crashEngine(u) != e {
		http.Error(w, "the upstream isn't listed", http.StatusNotFound)
		return
	}
	if err := r.connsTo(u).Connect(ctx); err != nil {
		http.Error(w, "the upstream isn't reached: "+err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
