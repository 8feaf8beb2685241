package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/entry/discovery"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/pathwatch"
	"tamarackchute/internal/settings"
	"tamarackchute/membership"
	"tamarackchute/reach"
	"tamarackchute/upstream"
)

const (
	// forwardDialTimeout limits the time to connect to another instance, and that of the handshake, which
	// take milliseconds: there are others.
	forwardDialTimeout = 250 * time.Millisecond
	// forwardTimeout limits a call to another instance, of which a plain answer comes last. A request's own
	// deadline is usually earlier.
	forwardTimeout = 10 * time.Minute
	// avoidPeer is how long an instance gets no further requests that can't serve them, or that wasn't
	// reached.
	avoidPeer = 500 * time.Millisecond
)

// forwarder implements gateway.Forwarder.
type forwarder struct {
	self    settings.Instance
	members discovery.Members
	paths   *pathwatch.Watcher
	peers   []*forwardPeer
}

// newPaths returns what watches the paths to the upstreams.
func (e *Entry) newPaths() *pathwatch.Watcher {
	pools := make(map[string][]string)
	for _, u := range e.cfg.Deployment.Upstreams {
		pools[u.Pool] = append(pools[u.Pool], u.Name)
	}
	return pathwatch.New(pathwatch.Config{
		Pools: func() map[string][]string { return pools },
		Reaches: func(ctx context.Context, name string, _ reach.CheckKind) bool {
			return e.cfg.Upstreams.Reaches(ctx, name)
		},
		OnChange: func(pool string, change reach.Change, result reach.Check) {
			attrs := []any{"pool", pool, "tried", result.Tried, "reached", result.Reached}
			if change == reach.Lost {
				e.log.Warn("path to upstreams lost", attrs...)
			} else {
				e.log.Info("path to upstreams works again", attrs...)
			}
		},
	})
}

func (e *Entry) newForwarder() *forwarder {
	f := &forwarder{self: e.self, members: e.node, paths: e.paths}
	for _, in := range e.cfg.Deployment.Instances {
		if in.Name == e.self.Name || in.Forwards == "" {
			continue
		}
		options := httpx.Options{
			TLS: e.cfg.ClientTLS, Timeout: forwardTimeout, DialTimeout: forwardDialTimeout, HandshakeTimeout: forwardDialTimeout, Sender: e.self.Name,
		}
		f.peers = append(f.peers, &forwardPeer{instance: in, client: httpx.New(in.Forwards, options)})
	}
	return f
}

// HasPath implements gateway.Forwarder.
func (f *forwarder) HasPath(pool string) bool { return !f.paths.IsLost(pool) }

// Peers implements gateway.Forwarder: live instances in random order, those of the same data centre
// first.
func (f *forwarder) Peers() []gateway.ForwardPeer {
	var near, far []gateway.ForwardPeer
	now := time.Now()
	for _, p := range f.peers {
		switch {
		case f.members.State(p.instance.Name) != membership.Live || p.avoided(now):
		case p.instance.DataCentre == f.self.DataCentre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	for _, group := range [][]gateway.ForwardPeer{near, far} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	return slices.Concat(near, far)
}

// forwardPeer implements gateway.ForwardPeer.
type forwardPeer struct {
	instance settings.Instance
	client   *httpx.Client

	mu         sync.Mutex
	avoidUntil time.Time
}

// Stream implements gateway.ForwardPeer.
func (p *forwardPeer) Stream(ctx context.Context, r *fasthttp.Request) (*httpx.Stream, error) {
	return p.client.Stream(ctx, r)
}

// Left implements gateway.ForwardPeer. If the word is lost, the engine gives the stream up after a while.
func (p *forwardPeer) Left(ctx context.Context, forwardID string) {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	r.Header.SetMethod(fasthttp.MethodDelete)
	r.SetRequestURI(gateway.LeftPath + url.PathEscape(forwardID))
	if response, err := p.client.Stream(ctx, r); err == nil {
		_ = response.Close()
	}
}

// Avoid implements gateway.ForwardPeer.
func (p *forwardPeer) Avoid() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidUntil = time.Now().Add(avoidPeer)
}

func (p *forwardPeer) avoided(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.avoidUntil)
}

const (
	// maxProbingPeers is the number of instances that are asked whether they reach an upstream,
	// peerProbeTimeout limits the time to ask one.
	maxProbingPeers  = 2
	peerProbeTimeout = 120 * time.Millisecond
)

// probe checks whether an upstream is running. Its error matches upstream.ErrNotSent if nothing listens
// there, and other instances don't reach it either.
func (e *Entry) probe(ctx context.Context, name string) error {
	err := e.cfg.Upstreams.Probe(ctx, name)
	if !errors.Is(err, upstream.ErrNotSent) {
		return err
	}
	peers := e.forwarder.Peers()
	for _, peer := range peers[:min(len(peers), maxProbingPeers)] {
		if reaches(ctx, peer, name) {
			e.log.Warn("upstream refuses connections here only", "upstream", name, "err", err)
			return fmt.Errorf("another instance reaches the upstream: %v", err)
		}
	}
	return err
}

// reaches asks an instance whether it reaches an upstream.
func reaches(ctx context.Context, peer gateway.ForwardPeer, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerProbeTimeout)
	defer cancel()
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	r.SetRequestURI(gateway.ProbePath + url.PathEscape(name))
	response, err := peer.Stream(ctx, r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Close() }()
	return response.Header().StatusCode() == fasthttp.StatusNoContent
}

// Reaches reports whether an upstream responds, or a service accepts a connection. An engine that
// answers with an error is reached.
func (us *Upstreams) Reaches(ctx context.Context, name string) bool {
	var err error
	if engine := us.engines[name]; engine != nil {
		_, err = engine.Load(ctx)
	} else if service, ok := us.services[name].(interface{ Connect(context.Context) error }); ok {
		err = service.Connect(ctx)
	}
	return err == nil || ctx.Err() == nil && !errors.Is(err, upstream.ErrNotSent) && !errors.Is(err, upstream.ErrBroken)
}
