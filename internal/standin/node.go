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
type node struct {
	name, kind string
	gate       *gate
	tls        *tls.Config
	server     *fasthttp.Server
	// ended is closed when the part ends.
	ended chan struct{}
}

func newNode(name, kind, addr string, tlsConfig *tls.Config) (*node, error) {
	g, err := openGate(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "stand-in %s", name)
	}
	return &node{name: name, kind: kind, gate: g, tls: tlsConfig, ended: make(chan struct{})}, nil
}

// Name implements Part.
func (n *node) Name() string { return n.name }

// String names the part in the supervisor's messages. Without it the
// supervisor would print the whole part by reflection, and race with its work.
func (n *node) String() string { return n.kind + " " + n.name }

// Kind implements Part.
func (n *node) Kind() string { return n.kind }

// Addr implements Part.
func (n *node) Addr() string { return n.gate.addr }

// serve answers requests until ctx ends.
func (n *node) serve(ctx context.Context, handler fasthttp.RequestHandler) error {
	n.server = &fasthttp.Server{
		Handler:               handler,
		MaxRequestBodySize:    maxRequestBody,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		IdleTimeout:           time.Minute,
		Logger:                silent{},
	}
	stop := context.AfterFunc(ctx, func() {
		close(n.ended)
		_ = n.gate.Close()
	})
	defer stop()
	var ln net.Listener = n.gate
	if n.tls != nil {
		ln = tls.NewListener(n.gate, n.tls)
	}
	err := n.server.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return eris.Wrapf(errors.Join(err, suture.ErrTerminateSupervisorTree), "stand-in %s", n.name)
}

// silent drops the server's log lines: a crashed part breaks connections on
// purpose.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// admin serves the counters and the faults, and reports whether the request
// was for them.
func admin(p Component, ctx *fasthttp.RequestCtx) bool {
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
func refuse(ctx *fasthttp.RequestCtx, status int, why string) {
	ctx.Error(why, status)
	ctx.Response.Header.Set(httpx.HeaderNotRun, "true")
}

// hangUp closes the connection without a response.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// cutOff acts out an outage or a partition for a request and reports whether
// there is one. A partitioned sender, as in an outage of the hanging sort,
// gets no answer; its connection closes once it is over.
func cutOff[F reachable](n *node, s *switchboard[F], ctx *fasthttp.RequestCtx) bool {
	sender := string(ctx.Request.Header.Peek(httpx.HeaderSender))
	f, changed := s.watch()
	switch f.reach().of(sender) {
	case OutageNone:
		return false
	case OutageError:
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return true
	case OutageHang:
		for f.reach().of(sender) == OutageHang && n.await(changed) {
			f, changed = s.watch()
		}
	}
	hangUp(ctx)
	return true
}

// await waits for a channel to close, and reports false if the part ended
// first.
func (n *node) await(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-n.ended:
		return false
	}
}

// pause waits for d, or until the part ends.
func (n *node) pause(d time.Duration) {
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

func (n *node) closeGate() { _ = n.gate.Close() }
