// Package standin holds small stand-ins for what surrounds the system: the
// platform's log, instance list and weight store, model engines and plain
// services. They are for tests and trials. Each part has its own address with
// counters at GET /counters and its faults at /faults.
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

// Paths that every part serves beside its own.
const (
	PathCounters = "/counters"
	PathFaults   = "/faults"
)

const (
	maxRequestBody = 64 << 20
	contentJSON    = "application/json"
)

// Part is one stand-in at an address of its own.
type Component interface {
	Name() string
	// Kind is "log", "list", "weights", "engine" or "service".
	Kind() string
	// Addr is the address that the part listens on.
	Addr() string
	// Serve runs the part until ctx ends. It is called once.
	Serve(ctx context.Context) error
	// CountersJSON returns the part's counters.
	CountersJSON() []byte
	// FaultsJSON returns the faults now switched on.
	FaultsJSON() []byte
	// SetFaults switches faults by a JSON document; fields that it doesn't
	// name stay as they are.
	SetFaults(doc []byte) error
}

// node is the HTTP side of a part.
type endpoint struct {
	name, kind string
	listener   *crashListener
	tls        *tls.Config
	server     *fasthttp.Server
	// ended is closed when the part ends.
	ended chan struct{}
}

func newEndpoint(name, kind, addr string, tlsConfig *tls.Config) (*endpoint, error) {
	g, err := newCrashListener(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "stand-in %s", name)
	}
	return &endpoint{name: name, kind: kind, listener: g, tls: tlsConfig, ended: make(chan struct{})}, nil
}

// Name implements Part.
func (n *endpoint) Name() string { return n.name }

// String names the part in the supervisor's messages. Without it the
// supervisor would print the whole part by reflection, and race with its work.
func (n *endpoint) String() string { return n.kind + " " + n.name }

// Kind implements Part.
func (n *endpoint) Kind() string { return n.kind }

// Addr implements Part.
func (n *endpoint) Addr() string { return n.listener.addr }

// serve answers requests until ctx ends.
func (n *endpoint) serve(ctx context.Context, handler fasthttp.RequestHandler) error {
	n.server = &fasthttp.Server{
		Handler:               handler,
		MaxRequestBodySize:    maxRequestBody,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		IdleTimeout:           time.Minute,
		Logger:                discardLogger{},
	}
	stop := context.AfterFunc(ctx, func() {
		close(n.ended)
		_ = n.listener.Close()
	})
	defer stop()
	var ln net.Listener = n.listener
	if n.tls != nil {
		ln = tls.NewListener(n.listener, n.tls)
	}
	err := n.server.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return eris.Wrapf(errors.Join(err, suture.ErrTerminateSupervisorTree), "stand-in %s", n.name)
}

// silent drops the server's log lines: a crashed part breaks connections on
// purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// admin serves the counters and the faults, and reports whether the request
// was for them.
func serveAdmin(p Component, ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case PathCounters:
		replyRaw(ctx, p.CountersJSON())
	case PathFaults:
		serveFaults(p, ctx)
	default:
		return false
	}
	return true
}

func serveFaults(p Component, ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		replyRaw(ctx, p.FaultsJSON())
		return
	}
	if err := p.SetFaults(ctx.PostBody()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	replyRaw(ctx, p.FaultsJSON())
}

func replyRaw(ctx *fasthttp.RequestCtx, doc []byte) {
	ctx.SetContentType(contentJSON)
	ctx.SetBody(doc)
}

func replyJSON[T any](ctx *fasthttp.RequestCtx, v T) {
	replyRaw(ctx, encode(v))
}

// encode marshals one of the package's own types, which can't fail.
func encode[T any](v T) []byte {
	doc, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return doc
}

// refuse answers that the request did not run and won't.
func replyNotRun(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.Error(reason, status)
	ctx.Response.Header.Set(httpx.HeaderNotRun, "true")
}

// hangUp closes the connection without a response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// cutOff acts out an outage or a partition for a request and reports whether
// there is one. A partitioned sender, as in an outage of the hanging sort,
// gets no answer; its connection closes once it is over.
func applyOutage[F networkFaulty](n *endpoint, s *faultState[F], ctx *fasthttp.RequestCtx) bool {
	sender := string(ctx.Request.Header.Peek(httpx.HeaderSender))
	f, changed := s.watch()
	switch f.networkFaults().outageFor(sender) {
	case OutageNone:
		return false
	case OutageError:
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return true
	case OutageHang:
		for f.networkFaults().outageFor(sender) == OutageHang && n.await(changed) {
			f, changed = s.watch()
		}
	}
	dropConnection(ctx)
	return true
}

// await waits for a channel to close, and reports false if the part ended
// first.
func (n *endpoint) await(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-n.ended:
		return false
	}
}

// pause waits for d, or until the part ends.
func (n *endpoint) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ended:
	}
}

func uintArg(ctx *fasthttp.RequestCtx, name string) (uint64, error) {
	return strconv.ParseUint(string(ctx.QueryArgs().Peek(name)), 10, 64)
}

func (n *endpoint) closeListener() { _ = n.listener.Close() }
