package controller

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/telemetry"
	"tamarackchute/orders"
)

// Bounds of the operators' HTTP server.
const (
	maxRequestBody = 4 << 10
	requestTimeout = 10 * time.Second
	// serverCloseTimeout bounds the wait for requests in flight when the controller stops.
	serverCloseTimeout = time.Second
	metricsContentType = "text/plain; version=0.0.4; charset=utf-8"
)

// OperatorServer serves the operators' address of a controller over HTTP: the status
// requires an operator's token, health and metrics don't. It is a suture service.
type OperatorServer struct {
	addr    string
	tls     *tls.Config
	metrics *telemetry.Page
	status  func() Status
	ready   func() bool
	// authorise rejects requests without a valid operator's token.
	authorise fiber.Handler
}

// Status is the state that a controller reports on its status page.
type Status struct {
	Instance    string `json:"instance"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	LogUp       bool   `json:"log_up"`
	// Scopes lists all scopes of the deployment, whichever instance leads them.
	Scopes []ScopeStatus `json:"scopes"`
	// Engines lists the engines of this data centre.
	Engines []EngineStatus `json:"engines"`
	// StatusAgeMillis maps each entry instance to the age of its last status.
	StatusAgeMillis map[string]int64 `json:"status_age_ms"`
}

// ScopeStatus describes the leadership of a scope.
type ScopeStatus struct {
	Scope        string    `json:"scope"`
	Holder       string    `json:"holder"`
	FencingToken uint64    `json:"fence"`
	Since        time.Time `json:"since"`
	Basis        string    `json:"ground"`
	// Leading is whether this process may give orders in the scope now.
	Leading bool `json:"led"`
}

// EngineStatus describes an engine and its current or last change.
type EngineStatus struct {
	Engine   string          `json:"engine"`
	Scope    string          `json:"scope"`
	Observed orders.Settings `json:"believed"`
	// Change is the last change, whether open or ended.
	Change *orders.Change `json:"change,omitempty"`
	Phase  string         `json:"phase,omitempty"`
	Open   bool           `json:"open"`
	// Activity is the leader's current step or what it waits for.
	Activity string `json:"doing,omitempty"`
	// Busy and the following fields are from this process's last read of the engine's
	// state.
	Busy         bool   `json:"busy"`
	Running      int    `json:"running"`
	FencingToken uint64 `json:"fencing_number"`
	LastOrder    string `json:"last_order,omitempty"`
	Incarnation  string `json:"incarnation,omitempty"`
}

// String names the service for the supervisor's log.
func (p *OperatorServer) String() string { return "operators' page " + p.addr }

// Serve handles requests until the context ends.
func (p *OperatorServer) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return eris.Wrapf(err, "listen on operators' address %s", p.addr)
	}
	if p.tls != nil {
		l = tls.NewListener(l, p.tls)
	}
	if err := httpx.Serve(ctx, p.app(), l, serverCloseTimeout); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "operators' page")
	}
	return ctx.Err()
}

func (p *OperatorServer) app() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             maxRequestBody,
		ReadTimeout:           requestTimeout,
		WriteTimeout:          requestTimeout,
		IdleTimeout:           requestTimeout,
	})
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", p.readyz)
	app.Get("/metrics", p.metricsText)
	app.Get("/status", p.authorise, func(c *fiber.Ctx) error { return c.JSON(p.status()) })
	return app
}

func (p *OperatorServer) readyz(c *fiber.Ctx) error {
	if !p.ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("the log has not been read\n")
	}
	return c.SendString("ok\n")
}

func (p *OperatorServer) metricsText(c *fiber.Ctx) error {
	var buf bytes.Buffer
	if _, err := p.metrics.WriteTo(&buf); err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, metricsContentType)
	return c.Send(buf.Bytes())
}
