package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/boottime"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Headers between instances, on a listener that callers don't reach.
const (
	// headerForwarded carries the version of the rules by which an instance has forwarded a request.
	headerForwarded = "Chute-Forwarded"
	// headerIncapable marks a refusal of a request that another instance may serve.
	headerIncapable = "Chute-Incapable"
)

const (
	// ProbePath and the name of an upstream is where an instance asks another one whether it reaches
	// that upstream: 204 means that it does.
	ProbePath = "/-/reaches/"
	// probeTimeout limits the time to answer that.
	probeTimeout = 80 * time.Millisecond
)

// probe answers another instance's question whether this one reaches an upstream.
func (g *Gateway) probe(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(g.baseContext, probeTimeout)
	defer cancel()
	if !g.deps.Reaches(ctx, strings.Clone(c.Params("upstream"))) {
		return c.SendStatus(fiber.StatusBadGateway)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// maxForwardTries is the number of instances to which one request is offered.
const maxForwardTries = 3

// Forwarder passes requests on to other instances where this one has no path to the upstreams.
type Forwarder interface {
	// HasPath reports whether the upstreams of a pool can be reached.
	HasPath(pool string) bool
	// Peers returns the instances to ask, the preferred ones first.
	Peers() []ForwardPeer
}

// ForwardPeer is another instance.
type ForwardPeer interface {
	// Stream sends a request and returns once the response's header has arrived.
	Stream(ctx context.Context, r *fasthttp.Request) (*httpx.Stream, error)
	// Avoid keeps requests away for a while: the instance can't serve them, or wasn't reached.
	Avoid()
	// Left says that the caller of a request, which was passed on under a name, has left.
	Left(ctx context.Context, forwardID string)
}

// localForwarded is the key of a request's forwarding instance's rules version among its locals.
type localForwarded struct{}

// localForwardID is the key of the name that the forwarding instance gave a request.
type localForwardID struct{}

// ForwardedApp returns the application for requests that other instances forward. They are served as
// callers' are, but not forwarded again.
func (g *Gateway) ForwardedApp() *fiber.App { return g.forwardedApp }

// markForwarded marks the requests of ForwardedApp.
func (g *Gateway) markForwarded(c *fiber.Ctx) error {
	version, err := parseVersion(c.Get(headerForwarded))
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString("the request doesn't come from an instance: " + err.Error())
	}
	g.namedRules.Record(uint64(version.Offset), c.IP(), boottime.Now())
	c.Locals(localForwarded{}, version)
	c.Locals(localForwardID{}, strings.Clone(c.Get(headerForwardID)))
	c.Request().Header.Del(headerForwarded)
	c.Request().Header.Del(headerForwardID)
	return c.Next()
}

func formatVersion(v rules.Version) string { return fmt.Sprintf("%d.%d", uint64(v.Offset), v.Index) }

func parseVersion(text string) (rules.Version, error) {
	var offset uint64
	var index uint16
	if _, err := fmt.Sscanf(text, "%d.%d", &offset, &index); err != nil {
		return rules.Version{}, fmt.Errorf("%q is no version of the rules", text)
	}
	return rules.Version{Offset: infra.Offset(offset), Index: index}, nil
}

func isForwarded(c *fiber.Ctx) bool { return c.Locals(localForwarded{}) != nil }

// refuseForwarded returns the refusal of a forwarded request that this instance must not decide, or
// can't serve any better.
func (g *Gateway) refuseForwarded(c *fiber.Ctx, k *call) *outcome.Failure {
	version, ok := c.Locals(localForwarded{}).(rules.Version)
	switch {
	case !ok:
		return nil
	case g.standing().Overdue():
		return g.refuseOverdue(k, g.standing())
	case g.deps.Rules.Version().Less(version):
		return outcome.Refused(fiber.StatusServiceUnavailable, outcome.CodeRulesMissing, "this instance's rules are older")
	case g.deps.Forwarder != nil && !g.deps.Forwarder.HasPath(k.decision.Then.Pool):
		return outcome.Refused(fiber.StatusServiceUnavailable, outcome.CodeNoUpstream, "this instance reaches no upstream")
	default:
		return nil
	}
}

// markIncapable marks the refusal of a forwarded request that says nothing of other instances.
func markIncapable(c *fiber.Ctx, f *outcome.Failure) {
	if !isForwarded(c) || f.Execution != outcome.NotRun {
		return
	}
	switch f.Code {
	case outcome.CodeRulesMissing, outcome.CodeRulesOutdated, outcome.CodeKeysStale, outcome.CodeShuttingDown, outcome.CodeNoUpstream:
		c.Set(headerIncapable, "1")
	}
}

// forward passes a request on if this instance has no path to its upstreams, or overdue rules. It reports
// whether the response has been written, or returns the request's failure; otherwise the request is served
// here.
func (g *Gateway) forward(c *fiber.Ctx, k *call) (done bool, f *outcome.Failure) {
	standing := g.standing()
	switch {
	case !standing.Overdue():
		return g.passToPeers(c, k, g.deps.Rules.Version())
	case isForwarded(c):
		return false, nil // it was checked already
	}
	required := rules.Version{Offset: infra.Offset(standing.Newest)}
	if done, f := g.passToPeers(c, k, required); done || f != nil {
		return done, f
	}
	return false, g.refuseOverdue(k, standing)
}

// passToPeers offers a request to instances whose rules are no older than a version, unless this one may
// and can serve it.
func (g *Gateway) passToPeers(c *fiber.Ctx, k *call, required rules.Version) (done bool, f *outcome.Failure) {
	own := g.deps.Rules.Version()
	if g.deps.Forwarder == nil || isForwarded(c) || !own.Less(required) && g.deps.Forwarder.HasPath(k.decision.Then.Pool) {
		return false, nil
	}
	peers := g.deps.Forwarder.Peers()
	if len(peers) == 0 {
		return false, nil
	}
	if f := g.begin(c, k); f != nil {
		return false, f
	}
	for _, peer := range peers[:min(len(peers), maxForwardTries)] {
		forwardID := g.deps.NewID()
		request := g.forwardedRequest(c, k, required)
		request.Header.Set(headerForwardID, forwardID)
		response, err := peer.Stream(k.ctx, request)
		switch {
		case err == nil && !refusedAsIncapable(response.Header()):
			g.deps.Log.Debug("forwarded", "request", k.id, "path", k.path, "rule", k.decision.Rule, "status", response.Header().StatusCode())
			return true, g.passOn(c, k, &passedBody{Stream: response, gateway: g, call: k, conn: c.Context().Conn(), peer: peer, forwardID: forwardID})
		case err == nil:
			_ = response.Close()
			peer.Avoid()
		case errors.Is(err, upstream.ErrNotSent):
			peer.Avoid()
		default:
			// Whatever came next could no longer say truthfully that the request did not run.
			return false, &outcome.Failure{
				Status: fiber.StatusBadGateway, Code: outcome.CodeUpstreamBroken, Execution: outcome.MayHaveRun,
				Message: "the instance to which the request was passed on broke off", Cause: err,
			}
		}
	}
	k.end()
	k.ctx = nil
	return false, nil
}

// refusedAsIncapable reports whether an instance has refused a request that another one may serve. An
// upstream's response, whatever its headers say, is marked as complete.
func refusedAsIncapable(h *fasthttp.ResponseHeader) bool {
	return len(h.Peek(headerIncapable)) > 0 && string(h.Peek(outcome.Header)) == string(outcome.NotRun)
}

// forwardedRequest returns a copy of the caller's request with its remaining time and the oldest version of
// the rules by which it may be decided.
func (g *Gateway) forwardedRequest(c *fiber.Ctx, k *call, required rules.Version) *fasthttp.Request {
	r := &fasthttp.Request{}
	c.Request().CopyTo(r)
	r.SetRequestURI(k.target.Origin())
	for _, name := range []string{fiber.HeaderConnection, fiber.HeaderKeepAlive, fiber.HeaderTransferEncoding, fiber.HeaderTE, fiber.HeaderUpgrade, fiber.HeaderExpect} {
		r.Header.Del(name)
	}
	r.Header.Set(headerForwarded, formatVersion(required))
	r.Header.Set(headerTimeout, strconv.FormatInt(max(1, time.Until(k.deadline).Milliseconds()), 10))
	return r
}

// passOn writes another instance's response. Its body is passed on as it arrives; one that breaks off
// also breaks the caller's connection.
func (g *Gateway) passOn(c *fiber.Ctx, k *call, body *passedBody) *outcome.Failure {
	h := body.Header()
	c.Status(h.StatusCode())
	for name, value := range h.All() {
		if !isConnectionHeader(string(name)) {
			c.Response().Header.AddBytesKV(name, value)
		}
	}
	// The caller's connection may wait for the next event longer than for a plain response.
	_ = c.Context().SetWriteDeadline(time.Now().Add(g.opts.WriteTimeout))
	c.Context().SetBodyStream(body, h.ContentLength())
	g.active.Add(1) // until the body is closed
	return nil
}

// isConnectionHeader reports whether a header applies to one connection only.
func isConnectionHeader(name string) bool {
	switch name {
	case fiber.HeaderConnection, fiber.HeaderKeepAlive, fiber.HeaderTransferEncoding, fiber.HeaderContentLength, httpx.HeaderExchange:
		return true
	}
	return false
}

// passedBody is the body of another instance's response.
type passedBody struct {
	*httpx.Stream
	gateway *Gateway
	call    *call
	conn    net.Conn
	closed  bool
	// peer is the other instance, forwardID the request's name there. complete says that the body has been read to its
	// end.
	peer      ForwardPeer
	forwardID string
	complete  bool
}

var _ io.ReadCloser = (*passedBody)(nil)
