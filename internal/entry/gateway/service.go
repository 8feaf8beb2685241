package gateway

import (
	"bytes"
	"context"
	"strings"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/entry/forward"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/internal/reqtarget"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// maxIdempotencyKey bounds a caller's key, in bytes.
const maxIdempotencyKey = 256

// service serves any path that the rules route to a plain service.
func (g *Gateway) service(c *fiber.Ctx) error {
	g.active.Add(1)
	defer g.active.Add(-1)
	k, f := newCall(c, g.deps.NewID())
	if f == nil {
		f = g.applyRules(c, k, rules.Request{})
	}
	if f == nil && !g.opts.ServicePools[k.decision.Then.Pool] {
		f = outcome.Refused(fiber.StatusNotFound, outcome.CodeInvalidRequest,
			"rule %q sends this path to engines, which take only model requests", k.decision.Rule)
	}
	if f == nil {
		f = g.forwardOrCall(c, k)
	}
	if f == nil {
		return nil
	}
	k.end()
	return g.fail(c, k, f)
}

// forwardOrCall passes the request on, or calls a service.
func (g *Gateway) forwardOrCall(c *fiber.Ctx, k *call) *outcome.Failure {
	if done, f := g.forward(c, k); done || f != nil {
		return f
	}
	f := g.callService(c, k)
	k.end()
	return f
}

// forwardModelRequest serves a model request that the rules route to a plain service.
func (g *Gateway) forwardModelRequest(c *fiber.Ctx, k *call) *outcome.Failure {
	f := g.callService(c, k)
	if f == nil {
		k.end()
		g.active.Add(-1)
	}
	return f
}

// callService forwards the request and writes the service's response.
func (g *Gateway) callService(c *fiber.Ctx, k *call) *outcome.Failure {
	if f := g.begin(c, k); f != nil {
		return f
	}
	then := k.decision.Then
	job := forward.Job{
		Request: serviceRequest(c, k),
		Host:    reqtarget.Host(strings.Clone(c.Get(fiber.HeaderHost))),
		Route: router.Request{
			Pool:         then.Pool,
			Organisation: k.organisation,
			DataCentre:   g.opts.DataCentre,
			Priority:     then.Priority,
			Deadline:     k.deadline,
			NoProbe:      then.Protected,
		},
		Public: k.decision.Keyed && then.Public,
		Retry:  then.RetryClass(),
		Admit:  g.admitKey(k),
		Stop:   g.stopCheck(k),
	}
	key := strings.Clone(c.Get(headerIdempotencyKey))
	if f := checkKey(then.Protected, key); f != nil {
		return f
	}
	grant, f := g.admit(k, job.Route)
	if f != nil {
		return f
	}
	share := g.opts.Bodies.Share()
	response, f := g.runService(bodylimit.WithShare(k.ctx, share), k, job, key)
	grant.Release(admissionResult(f), 0)
	if f != nil {
		share.Release()
		return f
	}
	g.metrics.answered.Inc(1)
	g.metrics.complete.RecordDuration(elapsed(k))
	writeResponse(c, k, response, share)
	return nil
}

func checkKey(protected bool, key string) *outcome.Failure {
	if !protected {
		return nil
	}
	if key == "" {
		return outcome.Refused(fiber.StatusBadRequest, outcome.CodeKeyRequired,
			"this call runs at most once and needs the header %s", headerIdempotencyKey)
	}
	if len(key) > maxIdempotencyKey {
		return outcome.Refused(fiber.StatusBadRequest, outcome.CodeInvalidRequest,
			"the header %s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKey)
	}
	return nil
}

// runService runs the call, at most once if it is protected. An attempt of a
// protected call is retried only if it certainly did not run.
func (g *Gateway) runService(ctx context.Context, k *call, job forward.Job, key string) (upstream.ServiceResponse, *outcome.Failure) {
	if !k.decision.Then.Protected {
		return g.deps.Services.Call(ctx, job)
	}
	if job.Retry == rules.RetryRepeatable {
		job.Retry = rules.RetryUnsent
	}
	protected := ProtectedCall{Organisation: k.organisation, Key: key, Digest: requestDigest(job.Request)}
	return g.deps.Protected.Do(ctx, protected, func(ctx context.Context) (upstream.ServiceResponse, *outcome.Failure) {
		return g.deps.Services.Call(ctx, job)
	})
}

// requestDigest distinguishes a resend of a call from another one under the same key.
func requestDigest(r upstream.ServiceRequest) string {
	sum := stream.NewRequestDigest(r.Method, r.Path, r.Body)
	return string(sum[:])
}

// serviceRequest copies the request: the call may outlive the handler, whose memory
// is reused for the connection's next request.
func serviceRequest(c *fiber.Ctx, k *call) upstream.ServiceRequest {
	r := upstream.ServiceRequest{
		Method: k.method,
		Path:   k.target.Origin(),
		Body:   bytes.Clone(c.BodyRaw()),
	}
	for name, value := range c.Request().Header.All() {
		if k.decision.Keyed && isIdentityHeader(string(name)) {
			continue
		}
		r.Headers = append(r.Headers, upstream.Header{Name: string(name), Value: string(value)})
	}
	if k.decision.Organisation != "" {
		r.Headers = append(r.Headers, upstream.Header{Name: headerOrganisation, Value: k.decision.Organisation})
	}
	return r
}

// writeResponse sets the response. A large body counts in its share until the caller has received it.
func writeResponse(c *fiber.Ctx, k *call, r upstream.ServiceResponse, share *bodylimit.Share) {
	c.Status(r.Status)
	for _, h := range r.Headers {
		c.Response().Header.Add(h.Name, h.Value)
	}
	c.Set(outcome.Header, string(outcome.Completed))
	c.Set(headerRequestID, k.id)
	if share.Holds() {
		c.Response().SetBodyStream(&heldBody{Reader: bytes.NewReader(r.Body), share: share}, len(r.Body))
		return
	}
	share.Release()
	c.Response().SetBodyRaw(r.Body)
}

// heldBody is a body that is closed once it has been written or its connection is lost.
type heldBody struct {
	*bytes.Reader
	share *bodylimit.Share
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.share.Release()
	return nil
}
