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

// Bounds of the operators' page.
const (
	pageMaxBody = 4 << 10
	pageTimeout = 10 * time.Second
	// pageCloseTimeout bounds the end of the last requests when the controller stops.
	pageCloseTimeout = time.Second
	contentText      = "text/plain; version=0.0.4; charset=utf-8"
)

// OperatorServer serves the operators' address of a controller over HTTP: the status behind
// an operator's token, health and metrics without. It is a suture service.
type OperatorServer struct {
	addr    string
	tls     *tls.Config
	metrics *telemetry.Page
	status  func() Status
	ready   func() bool
	// authorise lets operators through to the status.
	authorise fiber.Handler
}

// Status is what a controller shows of itself.
type Status struct {
	Instance    string `json:"instance"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	LogUp       bool   `json:"log_up"`
	// Scopes lists all scopes of the deployment, whoever leads them.
	Scopes []ScopeStatus `json:"scopes"`
	// Engines lists the engines of this data centre.
	Engines []EngineStatus `json:"engines"`
	// StatusAgeMillis tells how old each entry's last status is.
	StatusAgeMillis map[string]int64 `json:"status_age_ms"`
}

// ScopeStatus tells who leads a scope.
type ScopeStatus struct {
	Scope        string    `json:"scope"`
	Holder       string    `json:"holder"`
	FencingToken uint64    `json:"fence"`
	Since        time.Time `json:"since"`
	Basis        string    `json:"ground"`
	// Leading is whether this process may give orders in the scope now.
	Leading bool `json:"led"`
}

// EngineStatus tells what is known of an engine.
type EngineStatus struct {
	Engine   string          `json:"engine"`
	Scope    string          `json:"scope"`
	Believed orders.Settings `json:"believed"`
	// Change is the last change, open or ended.
	Change *orders.Change `json:"change,omitempty"`
	Phase  string         `json:"phase,omitempty"`
	Open   bool           `json:"open"`
	// Activity is what the leader does or waits for.
	Activity string `json:"doing,omitempty"`
	// Busy, Running and the rest are as last read back by this process.
	Busy         bool   `json:"busy"`
	Running      int    `json:"running"`
	FencingToken uint64 `json:"fencing_number"`
	LastOrder    string `json:"last_order,omitempty"`
	Incarnation  string `json:"incarnation,omitempty"`
}

// String names the service for the supervisor's log.
func (p *OperatorServer) String() string { return "operators' page " + p.addr }

// Serve answers until the context ends.
func (p *OperatorServer) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return eris.Wrapf(err, "operators' address %s can't be taken", p.addr)
	}
	if p.tls != nil {
		l = tls.NewListener(l, p.tls)
	}
	if err := httpx.Serve(ctx, p.app(), l, pageCloseTimeout); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "operators' page")
	}
	return ctx.Err()
}

func (p *OperatorServer) app() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             pageMaxBody,
		ReadTimeout:           pageTimeout,
		WriteTimeout:          pageTimeout,
		IdleTimeout:           pageTimeout,
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
	c.Set(fiber.HeaderContentType, contentText)
	return c.Send(buf.Bytes())
}
