// Package gateway serves callers over HTTP: model requests plain and streamed,
// requests to plain services, where to connect, health and readiness.
package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"tamarackchute/admission"
	"tamarackchute/internal/entry/answer"
	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/discovery"
	"tamarackchute/internal/entry/forward"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Rules matches requests. It reports false as long as no rules are known.
type Rules interface {
	Match(r rules.Request) (rules.Decision, bool)
}

// Admission lets requests in; admission.Controller is one.
type Admission interface {
	Acquire(ctx context.Context, r admission.Request) (*admission.Grant, error)
}

// Estimator foresees where and how long a request would run; router.Tracker is
// one.
type Estimator interface {
	Pick(r router.Request) (router.Plan, error)
}

// Protected runs calls at most once per key.
type ProtectedRunner interface {
	// Do runs the call unless its key was claimed before. The response may be
	// one that was recorded then.
	Do(ctx context.Context, c ProtectedCall, run CallFunc) (upstream.ServiceResponse, *outcome.Failure)
}

// RunCall sends a call to a service.
type CallFunc func(ctx context.Context) (upstream.ServiceResponse, *outcome.Failure)

// ProtectedCall names a call that must run at most once.
type ProtectedCall struct {
	Organisation string
	Key          string
	// Digest tells a resend from another call under the same key.
	Digest string
}

// Directory names the addresses that callers may use.
type Directory interface {
	Locate(dataCentre string) discovery.Response
}

// Options are the gateway's settings.
type Options struct {
	DataCentre   string
	MaxBodyBytes int
	// DefaultDeadline is for requests whose rule sets none.
	DefaultDeadline time.Duration
	// Heartbeat is the longest that a stream is silent.
	Heartbeat time.Duration
	// WriteTimeout is the longest that a caller may leave an answer unread.
	WriteTimeout time.Duration
	// ReadTimeout is the longest that a caller may take to send a request,
	// IdleTimeout the longest that a connection is kept between two.
	ReadTimeout, IdleTimeout time.Duration
	// Models are listed to callers.
	Models []string
	// ServicePools names the pools of plain services; all others have engines.
	ServicePools map[string]bool
}

// Parts are what the gateway works with.
type Dependencies struct {
	Rules       Rules
	Admission   Admission
	Estimator   Estimator
	Answers     *answer.Runner
	Services    *forward.Runner
	Protected   ProtectedRunner
	Directory   Directory
	Signer      *stream.Signer
	CallerWatch *callerwatch.Watcher
	Demand      DemandRecorder
	// Ready returns nil once the instance can serve.
	Ready func() error
	// Load is the share of the local engines' capacity in use.
	Load  func() float64
	NewID func() string
	Scope tally.Scope
	Log   *slog.Logger
}

// Demand is told what callers ask for.
type DemandRecorder interface {
	// Asked counts a request with the estimate of its prompt and the bound on
	// its output, before it can be refused.
	RecordRequest(model string, promptTokens, maxTokens int)
	// Answered tells, of a whole answer, what the engine counted for these.
	RecordResponse(model string, promptTokens, maxTokens, prompt, output int)
}

// Gateway serves callers.
type Gateway struct {
	opts    Options
	deps    Dependencies
	app     *fiber.App
	metrics *metrics
	// active counts requests that have begun and whose answer isn't out.
	active atomic.Int64
	// pumps are the goroutines that read engines' streams.
	pumps conc.WaitGroup
	// leaving asks callers to close their connections.
	shuttingDown atomic.Bool
	// base is the parent of all calls' contexts.
	baseContext context.Context
	cancelAll   context.CancelCauseFunc
}

// New returns a gateway. It serves nothing until its App is given a listener.
func New(o Options, deps Dependencies) *Gateway {
	g := &Gateway{opts: o, deps: deps, metrics: newMetrics(deps.Scope)}
	g.baseContext, g.cancelAll = context.WithCancelCause(context.Background())
	g.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             o.MaxBodyBytes,
		ReadTimeout:           o.ReadTimeout,
		IdleTimeout:           o.IdleTimeout,
		// Read buffers are given back while a request is served, which counts
		// for thousands of open streams.
		ReduceMemoryUsage: true,
		WriteTimeout:      o.WriteTimeout, // of plain answers; streams move theirs on
		ErrorHandler:      g.serverError,
		// A body is parsed by the handler that knows its form.
		DisablePreParseMultipartForm: true,
	})
	g.routes()
	return g
}

func (g *Gateway) routes() {
	g.app.Use(g.closeIfShuttingDown)
	g.app.Get("/healthz", g.healthz)
	g.app.Get("/readyz", g.readyz)
	g.app.Get("/v1/where", g.where)
	g.app.Get("/v1/models", g.models)
	g.app.Post("/v1/completions", g.completions)
	g.app.Post("/v1/chat/completions", g.chat)
	g.app.Use(g.service)
}

// askToClose ends kept connections of callers while the instance is leaving, so
// that they come back to another one instead of finding theirs closed.
func (g *Gateway) closeIfShuttingDown(c *fiber.Ctx) error {
	if g.shuttingDown.Load() {
		c.Response().SetConnectionClose()
	}
	return c.Next()
}

// Leave begins to ask callers to close their connections. Requests are served
// as before.
func (g *Gateway) BeginShutdown() { g.shuttingDown.Store(true) }

// Leaving reports whether Leave was called.
func (g *Gateway) ShuttingDown() bool { return g.shuttingDown.Load() }

// Abort ends the requests still in progress, once the grace of a stop is over.
// Their callers are told, and engines keep the streams for a while, so that
// they can be taken up again at another instance.
func (g *Gateway) Abort() { g.cancelAll(outcome.ErrStopping) }

// App returns the HTTP application.
func (g *Gateway) App() *fiber.App { return g.app }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Wait returns once no stream is read any more. No request may come meanwhile.
func (g *Gateway) Wait() { g.pumps.Wait() }
