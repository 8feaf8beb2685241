// Package standin implements stand-ins for the system's environment: the platform's log,
// instance list and weight store, model engines and plain services. They are for tests and
// trials. Each component listens on its own address and serves its counters at GET
// /counters and its faults at /faults.
package standin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
)

// Paths that every component serves in addition to its own.
const (
	PathCounters = "/counters"
	PathFaults   = "/faults"
)

const (
	maxRequestBody = 64 << 20
	contentJSON    = "application/json"
)

// Component is one stand-in with its own address.
type Component interface {
	Name() string
	// Kind is "log", "list", "weights", "engine" or "service".
	Kind() string
	// Addr is the address that the component listens on.
	Addr() string
	// Serve runs the component until ctx ends. It may be called only once.
	Serve(ctx context.Context) error
	// CountersJSON returns the component's counters.
	CountersJSON() []byte
	// FaultsJSON returns the current faults.
	FaultsJSON() []byte
	// SetFaults sets faults from a JSON document; fields missing from it keep their values.
	SetFaults(doc []byte) error
}

// endpoint is the HTTP server of a component.
type endpoint struct {
	name, kind string
	listener   *crashListener
	tls        *tls.Config
	server     *fasthttp.Server
	// ended is closed when the component ends.
	ended chan struct{}
}

func newEndpoint(name, kind, addr string, tlsConfig *tls.Config) (*endpoint, error) {
	listener, err := newCrashListener(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "stand-in %s", name)
	}
	return &endpoint{name: name, kind: kind, listener: listener, tls: tlsConfig, ended: make(chan struct{})}, nil
}

// Name implements Component.
func (e *endpoint) Name() string { return e.name }

// String names the component in the supervisor's messages. Without it the supervisor would
// format the component by reflection, a data race with its other goroutines.
func (e *endpoint) String() string { return e.kind + " " + e.name }

// Kind implements Component.
func (e *endpoint) Kind() string { return e.kind }

// Addr implements Component.
func (e *endpoint) Addr() string { return e.listener.addr }

// serve handles requests until ctx ends.
func (e *endpoint) serve(ctx context.Context, handler fasthttp.RequestHandler) error {
	e.server = &fasthttp.Server{
		Handler:               httpx.EchoExchange(handler),
		MaxRequestBodySize:    maxRequestBody,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		IdleTimeout:           time.Minute,
		Logger:                discardLogger{},
	}
	stop := context.AfterFunc(ctx, func() {
		close(e.ended)
		_ = e.listener.Close()
	})
	defer stop()
	var ln net.Listener = e.listener
	if e.tls != nil {
		ln = tls.NewListener(e.listener, e.tls)
	}
	err := e.server.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return eris.Wrapf(errors.Join(err, suture.ErrTerminateSupervisorTree), "stand-in %s", e.name)
}

// discardLogger discards the server's log lines, because components break connections on
// purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// serveAdmin serves counters and faults, and reports whether the request was for one of
// them.
func serveAdmin(component Component, ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case PathCounters:
		replyRaw(ctx, component.CountersJSON())
	case PathFaults:
		serveFaults(component, ctx)
	default:
		return false
	}
	return true
}

func serveFaults(component Component, ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		replyRaw(ctx, component.FaultsJSON())
		return
	}
	if err := component.SetFaults(ctx.PostBody()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	replyRaw(ctx, component.FaultsJSON())
}

func replyRaw(ctx *fasthttp.RequestCtx, doc []byte) {
	ctx.SetContentType(contentJSON)
	ctx.SetBody(doc)
}

func replyJSON[T any](ctx *fasthttp.RequestCtx, v T) {
	replyRaw(ctx, encode(v))
}

// encode marshals one of the package's own types, which cannot fail.
func encode[T any](v T) []byte {
	doc, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return doc
}

// replyNotRun answers that the request has not run and will not run.
func replyNotRun(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.Error(reason, status)
	ctx.Response.Header.Set(httpx.HeaderNotRun, "true")
}

// dropConnection closes the connection without a response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// applyOutage applies an outage or a partition to a request and reports whether there is
// one. With OutageHang or from a partitioned sender, the request gets no response and its
// connection is closed when the fault ends.
func applyOutage[F networkFaulty](e *endpoint, s *faultState[F], ctx *fasthttp.RequestCtx) bool {
	sender := string(ctx.Request.Header.Peek(httpx.HeaderSender))
	f, changed := s.watch()
	switch f.networkFaults().outageFor(sender) {
	case OutageNone:
		return false
	case OutageError:
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return true
	case OutageHang:
		for f.networkFaults().outageFor(sender) == OutageHang && e.await(changed) {
			f, changed = s.watch()
		}
	}
	dropConnection(ctx)
	return true
}

// await waits until the channel is closed; it reports false if the component ends first.
func (e *endpoint) await(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-e.ended:
		return false
	}
}

// sleep waits for d, or until the component ends.
func (e *endpoint) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.ended:
	}
}

func uintArg(ctx *fasthttp.RequestCtx, name string) (uint64, error) {
	return strconv.ParseUint(string(ctx.QueryArgs().Peek(name)), 10, 64)
}

func (e *endpoint) closeListener() { _ = e.listener.Close() }
