package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// fakeForwarder has no path if lost is set, and knows other instances by their addresses.
type fakeForwarder struct {
	lost  atomic.Bool
	peers []*fakePeer
}

func (f *fakeForwarder) HasPath(string) bool { return !f.lost.Load() }

func (f *fakeForwarder) Peers() []gateway.ForwardPeer {
	var all []gateway.ForwardPeer
	for _, p := range f.peers {
		all = append(all, p)
	}
	return all
}

type fakePeer struct {
	client        *httpx.Client
	asked, avoids atomic.Int32
}

func newPeer(address string) *fakePeer {
	return &fakePeer{client: httpx.New(address, httpx.Options{})}
}

func (p *fakePeer) Stream(ctx context.Context, r *fasthttp.Request) (*httpx.Stream, error) {
	p.asked.Add(1)
	return p.client.Stream(ctx, r)
}

func (p *fakePeer) Left(ctx context.Context, forwardID string) {
	r := &fasthttp.Request{}
	r.Header.SetMethod(fasthttp.MethodDelete)
	r.SetRequestURI(gateway.LeftPath + forwardID)
	if s, err := p.client.Stream(ctx, r); err == nil {
		_ = s.Close()
	}
}

func (p *fakePeer) Avoid() { p.avoids.Add(1) }

// forwardedAddress starts the gateway's listener for forwarded requests.
func (r *harness) forwardedAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = r.gateway.ForwardedApp().Listener(ln) }()
	t.Cleanup(func() { _ = r.gateway.ForwardedApp().ShutdownWithTimeout(time.Minute) })
	return ln.Addr().String()
}

func modelDeps(engine *fakeEngine, f gateway.Forwarder) *fakeDeps {
	return &fakeDeps{engines: map[string]*fakeEngine{"e": engine}, forwarder: f}
}

// echoService answers with the body of the call.
type echoService struct{ calls atomic.Int32 }

func (s *echoService) Call(_ context.Context, r upstream.ServiceRequest) (upstream.ServiceResponse, error) {
	s.calls.Add(1)
	return upstream.ServiceResponse{Status: http.StatusOK, Body: r.Body}, nil
}

const forwardBody = `{"model":"m","prompt":"x","stream":true,"max_tokens":20}`

// Guards against refusals by an instance that has lost its path to the upstreams, while others could
// serve; streams must be whole.
func TestInstanceWithoutPathForwards(t *testing.T) {
	engine, blind := newEngine(20), newEngine(20)
	b := newHarness(t, modelDeps(engine, &fakeForwarder{}))
	f := &fakeForwarder{peers: []*fakePeer{newPeer(b.forwardedAddress(t))}}
	f.lost.Store(true)
	a := newHarness(t, modelDeps(blind, f))

	all, _, last := events(a.post(t, "/v1/completions", forwardBody)).tokens(t, -1)
	require.Equal(t, fullText(20), all)
	require.Equal(t, "[DONE]", last.data)
	plain := a.post(t, "/v1/completions", `{"model":"m","prompt":"x","max_tokens":20}`)
	require.Equal(t, http.StatusOK, plain.StatusCode)
	require.Contains(t, readBody(t, plain), strings.TrimSpace(fullText(20)))
	require.Empty(t, blind.seen())
	require.Len(t, engine.seen(), 2)
	eventuallyIdle(t, a)

	f.lost.Store(false)
	require.Equal(t, http.StatusOK, a.post(t, "/v1/completions", forwardBody).StatusCode)
	require.Len(t, blind.seen(), 1, "its path is back")
}

func eventuallyIdle(t *testing.T, r *harness) {
	t.Helper()
	require.Eventually(t, func() bool { return r.gateway.Active() == 0 }, 10*time.Second, 5*time.Millisecond, "no request is in progress")
}

// Guards against requests that go from instance to instance where none has a path: the first one then
// serves them as if there were no other.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	fa, fb := &fakeForwarder{}, &fakeForwarder{}
	fa.lost.Store(true)
	fb.lost.Store(true)
	engine := newEngine(3)
	a, b := newHarness(t, modelDeps(engine, fa)), newHarness(t, modelDeps(newEngine(3), fb))
	toA, toB := newPeer(a.forwardedAddress(t)), newPeer(b.forwardedAddress(t))
	fa.peers, fb.peers = []*fakePeer{toB}, []*fakePeer{toA}
	require.Equal(t, http.StatusOK, a.post(t, "/v1/completions", forwardBody).StatusCode)
	require.EqualValues(t, 1, toB.asked.Load())
	require.EqualValues(t, 1, toB.avoids.Load())
	require.Zero(t, toA.asked.Load())
	require.Len(t, engine.seen(), 1)
}

// Guards against an instance with older rules that decides for one with newer ones.
func TestInstanceWithOlderRulesIsPassedOver(t *testing.T) {
	engine := newEngine(3)
	b := newHarness(t, modelDeps(engine, &fakeForwarder{}))
	f := &fakeForwarder{peers: []*fakePeer{newPeer(b.forwardedAddress(t))}}
	f.lost.Store(true)
	own := newEngine(3)
	deps := modelDeps(own, f)
	deps.version = rules.Version{Offset: 7}
	a := newHarness(t, deps)
	require.Equal(t, http.StatusOK, a.post(t, "/v1/completions", forwardBody).StatusCode)
	require.Empty(t, engine.seen())
	require.Len(t, own.seen(), 1)
}

// Guards against a call that runs twice, or is said not to have run, after the connection between two
// instances was lost.
func TestConnectionBetweenInstancesIsLost(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		bad, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = bad.Close() })
		go func() {
			for {
				c, err := bad.Accept()
				if err != nil {
					return
				}
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_ = c.Close()
			}
		}()
		service := &echoService{}
		then := rules.Then{Pool: "s", Retry: rules.RetryUnsent}
		if repeatable {
			then.Retry = rules.RetryRepeatable
		}
		b := newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s": service}, then: then, forwarder: &fakeForwarder{}})
		f := &fakeForwarder{peers: []*fakePeer{newPeer(bad.Addr().String()), newPeer(b.forwardedAddress(t))}}
		f.lost.Store(true)
		a := newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s": &echoService{}}, then: then, forwarder: f})
		r := a.post(t, "/book", "body")
		require.Equal(t, http.StatusBadGateway, r.StatusCode)
		require.Equal(t, "may-have-run", r.Header.Get("Chute-Outcome"))
		require.Zero(t, service.calls.Load())
	}
}

// Guards against work that goes on after the caller of a forwarded request has left.
func TestForwardedStreamEndsWithItsCaller(t *testing.T) {
	engine := newEngine(20)
	engine.stallAt = 3
	b := newHarness(t, modelDeps(engine, &fakeForwarder{}))
	f := &fakeForwarder{peers: []*fakePeer{newPeer(b.forwardedAddress(t))}}
	f.lost.Store(true)
	a := newHarness(t, modelDeps(newEngine(20), f))
	response := a.post(t, "/v1/completions", forwardBody)
	_, _, _ = events(response).tokens(t, 3)
	require.NoError(t, response.Body.Close())
	select {
	case <-engine.cancelled:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the engine still works")
	}
	eventuallyIdle(t, a)
	eventuallyIdle(t, b)
}

// Guards against callers who state what only instances may.
func TestCallersCannotForgeForwarding(t *testing.T) {
	f := &fakeForwarder{}
	a := newHarness(t, modelDeps(newEngine(3), f))
	require.Equal(t, http.StatusOK, a.post(t, "/v1/completions", forwardBody, "Chute-Forwarded", "9.0").StatusCode, "the header means nothing to the callers' listener")
	forwarded := a.forwardedAddress(t)
	for _, version := range []string{"", "x", "-1.0"} {
		r := httptest.NewRequest(http.MethodPost, "http://"+forwarded+"/v1/completions", strings.NewReader(forwardBody))
		r.RequestURI = ""
		r.Header.Set("Chute-Forwarded", version)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "%q", version)
	}
}

// liarService answers as an instance does that can't serve a request.
type liarService struct{ calls atomic.Int32 }

func (s *liarService) Call(context.Context, upstream.ServiceRequest) (upstream.ServiceResponse, error) {
	s.calls.Add(1)
	headers := []upstream.Header{{Name: "Chute-Incapable", Value: "1"}, {Name: "Chute-Outcome", Value: "not-run"}}
	return upstream.ServiceResponse{Status: http.StatusServiceUnavailable, Headers: headers}, nil
}

// Guards against a service whose response makes an instance send the call once more.
func TestServiceCannotForgeARefusal(t *testing.T) {
	service, own := &liarService{}, &liarService{}
	then := rules.Then{Pool: "s", Retry: rules.RetryUnsent}
	b := newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s": service}, then: then, forwarder: &fakeForwarder{}})
	f := &fakeForwarder{peers: []*fakePeer{newPeer(b.forwardedAddress(t))}}
	f.lost.Store(true)
	a := newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s": own}, then: then, forwarder: f})
	r := a.post(t, "/book", "body")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.EqualValues(t, 1, service.calls.Load())
	require.Zero(t, own.calls.Load())
}

// Guards against a stream that is lost with the instance that passed it on: its engine must keep it, as it keeps one
// whose own instance has ended.
func TestEndOfThePassingInstanceKeepsTheStream(t *testing.T) {
	engine := newEngine(20)
	engine.stallAt = 4
	b := newHarness(t, modelDeps(engine, &fakeForwarder{}))
	f := &fakeForwarder{peers: []*fakePeer{newPeer(b.forwardedAddress(t))}}
	f.lost.Store(true)
	a := newHarness(t, modelDeps(newEngine(20), f))
	s := events(a.post(t, path, forwardBody))
	s.tokens(t, 4)
	a.gateway.Abort()
	s.tokens(t, -1)
	eventuallyIdle(t, b)
	b.gateway.Wait()
	require.Empty(t, engine.cancelled)
}
