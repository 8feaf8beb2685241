// Package gateway serves callers over HTTP: plain and streamed model requests,
// requests to plain services, instance discovery, health and readiness.
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
	"tamarackchute/apikey"
	"tamarackchute/freshness"
	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/entry/answer"
	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/discovery"
	"tamarackchute/internal/entry/forward"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/entry/requestbody"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Rules matches requests. Match reports false as long as no rules are loaded.
type Rules interface {
	Match(r rules.Request) (rules.Decision, bool)
	// Holds reports whether an organisation still holds a key and the rules in force are known to
	// be recent enough for it.
	Holds(key *apikey.Digest, organisation string) bool
	// Version returns the version in force, the zero version if none is known.
	Version() rules.Version
}

// Admission admits or refuses requests; admission.Controller implements it.
type Admission interface {
	Acquire(ctx context.Context, r admission.Request) (*admission.Grant, error)
}

// Estimator predicts where and how long a request would run; router.Tracker
// implements it.
type Estimator interface {
	Pick(r router.Request) (router.Plan, error)
}

// ProtectedRunner runs calls at most once per idempotency key.
type ProtectedRunner interface {
	// Do runs the call unless its key was claimed before, in which case the response
	// may be the recorded one.
	Do(ctx context.Context, c ProtectedCall, run CallFunc) (upstream.ServiceResponse, *outcome.Failure)
}

// CallFunc sends a call to a service.
type CallFunc func(ctx context.Context) (upstream.ServiceResponse, *outcome.Failure)

// ProtectedCall identifies a call that must run at most once.
type ProtectedCall struct {
	Organisation string
	Key          string
	// Digest distinguishes a resend from another call under the same key.
	Digest string
}

// Directory returns the addresses that callers may connect to.
type Directory interface {
	Locate(dataCentre string) discovery.Response
}

// Options are the gateway's settings.
type Options struct {
	DataCentre   string
	MaxBodyBytes int
	// DefaultDeadline applies to requests whose rule sets no deadline.
	DefaultDeadline time.Duration
	// Heartbeat is the time between two heartbeats on a stream without events. The
	// first comes one to two such intervals after the last event.
	Heartbeat time.Duration
	// WriteTimeout bounds how long a caller may leave a response unread.
	WriteTimeout time.Duration
	// ReadTimeout bounds how long a caller may take to send a request, IdleTimeout
	// how long a connection is kept open between two requests.
	ReadTimeout, IdleTimeout time.Duration
	// RulesLimit is the age of the rules from which on no request is refused for good.
	RulesLimit freshness.Limit
	// Models are the models listed to callers.
	Models []string
	// ServicePools names the pools of plain services; all others have engines.
	ServicePools map[string]bool
	// Bodies limits what services' responses hold together until callers have received them; nil for no limit.
	Bodies *bodylimit.Limit
	// RequestBodies limits what the bodies of requests hold together; nil for no limit.
	RequestBodies *bodylimit.Limit
}

// Dependencies are the components that the gateway uses.
type Dependencies struct {
	Rules     Rules
	Admission Admission
	Estimator Estimator
	Answers   *answer.Runner
	Services  *forward.Runner
	Protected ProtectedRunner
	Directory Directory
	// Forwarder is nil if requests aren't passed on.
	Forwarder Forwarder
	// Reaches reports whether this instance reaches an upstream; needed if others forward requests.
	Reaches     func(ctx context.Context, upstream string) bool
	Signer      *stream.Signer
	CallerWatch *callerwatch.Watcher
	Demand      DemandRecorder
	// Ready returns nil once the instance can serve.
	Ready func() error
	// KeysUsable reports whether the rules in force are known to be recent enough for the use of
	// API keys; nil means that they always are.
	KeysUsable func() bool
	// RulesAge returns the time since the rules in force were last known to be the newest; nil means
	// that they always are.
	RulesAge func() time.Duration
	// Load returns the fraction of the capacity of the data centre's engines that is
	// in use.
	Load  func() float64
	NewID func() string
	Scope tally.Scope
	Log   *slog.Logger
}

// DemandRecorder records what callers request.
type DemandRecorder interface {
	// RecordRequest counts a request, before it can be refused, with the estimate of
	// its prompt tokens and the bound on its output tokens.
	RecordRequest(model string, promptTokens, maxTokens int)
	// RecordResponse compares the estimate and the bound of a complete response with
	// the engine's counts.
	RecordResponse(model string, promptTokens, maxTokens, prompt, output int)
}

// Gateway serves callers.
type Gateway struct {
	opts Options
	deps Dependencies
	app  *fiber.App
	// forwardedApp serves requests that other instances forward.
	forwardedApp *fiber.App
	metrics      *metrics
	// namedRules is the newest version of the rules that another instance has named.
	namedRules freshness.Named
	// forwarded are the streams that are served for other instances.
	forwarded forwardedStreams
	// active counts requests whose response isn't completely sent.
	active atomic.Int64
	// pumps are the goroutines that read engines' streams.
	pumps conc.WaitGroup
	// stopping is set once the instance shuts down: each response then asks its caller to close the
	// connection. noticed ends when all callers know of it; markNoticed ends it.
	stopping    atomic.Pointer[stopping]
	noticed     context.Context
	markNoticed context.CancelFunc
	// baseContext is the parent of all calls' contexts.
	baseContext context.Context
	cancelAll   context.CancelCauseFunc
}

// New returns a gateway. It serves nothing until its App gets a listener.
func New(o Options, deps Dependencies) *Gateway {
	g := &Gateway{opts: o, deps: deps, metrics: newMetrics(deps.Scope)}
	g.baseContext, g.cancelAll = context.WithCancelCause(context.Background())
	g.noticed, g.markNoticed = context.WithCancel(context.Background())
	g.app, g.forwardedApp = g.newApp(), g.newApp()
	g.forwardedApp.Get(ProbePath+":upstream", g.probe)
	g.forwardedApp.Delete(LeftPath+":id", g.callerLeft)
	g.forwardedApp.Use(g.markForwarded)
	g.routes(g.app)
	g.routes(g.forwardedApp)
	return g
}

func (g *Gateway) newApp() *fiber.App {
	o := g.opts
	return fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             o.MaxBodyBytes,
		// Otherwise memory is allocated by what requests announce, before any handler runs.
		StreamRequestBody: true,
		ReadTimeout:       o.ReadTimeout,
		IdleTimeout:       o.IdleTimeout,
		// Releases read buffers while a request is served, which matters with
		// thousands of open streams.
		ReduceMemoryUsage: true,
		WriteTimeout:      o.WriteTimeout, // for plain responses; streams extend their own deadline
		ErrorHandler:      g.serverError,
		// The handlers parse the bodies themselves.
		DisablePreParseMultipartForm: true,
	})
}

func (g *Gateway) routes(app *fiber.App) {
	app.Use(g.closeIfShuttingDown)
	app.Use(g.refuseAmbiguous)
	requestbody.Use(app, g.opts.MaxBodyBytes, g.opts.RequestBodies)
	app.Get("/healthz", g.healthz)
	app.Get("/readyz", g.readyz)
	app.Get("/v1/where", g.locate)
	app.Get("/v1/models", g.models)
	app.Post("/v1/completions", g.completions)
	app.Post("/v1/chat/completions", g.chat)
	app.Use(g.service)
}

// closeIfShuttingDown ends keep-alive connections with the next response while the
// instance is shutting down, so that callers reconnect to another instance before
// theirs is closed.
func (g *Gateway) closeIfShuttingDown(c *fiber.Ctx) error {
	if g.ShuttingDown() {
		c.Response().SetConnectionClose()
	}
	return c.Next()
}

// Abort ends the requests still in progress when the grace period of a shutdown is
// over. Their callers get an error, and engines keep the streams for a while, so that
// callers can resume them at another instance.
func (g *Gateway) Abort() { g.cancelAll(outcome.ErrShuttingDown) }

// App returns the HTTP application.
func (g *Gateway) App() *fiber.App { return g.app }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Wait returns once no engine stream is read any more. No request may arrive
// meanwhile.
func (g *Gateway) Wait() { g.pumps.Wait() }
