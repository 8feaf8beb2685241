// Package operator serves the operators' HTTP interface of an entry: rules, status, audit
// trail, releases from quarantine and acceptance of lost claims. Register it on the
// operators' address only, never on the callers' address.
package operator

import (
	"context"
	"log/slog"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/claim"
	"tamarackchute/internal/audit"
	"tamarackchute/internal/operator/api"
	"tamarackchute/internal/settings"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
	"tamarackchute/rules"
)

// Limits of the interface.
const (
	defaultWriteTimeout = 8 * time.Second
	defaultCount        = 50
	maxCount            = 1000
)

// Releaser releases a request from quarantine; quarantine.Guard implements it.
type Releaser interface {
	Release(ctx context.Context, r quarantine.Release) error
}

// ClaimHistory is the history of protected calls; claim.Guard implements it.
type ClaimHistory interface {
	AcceptGap(ctx context.Context) error
	Stats() claim.Stats
}

// Deps holds the dependencies of the interface. Only Logger and WriteTimeout are optional.
type Deps struct {
	Operators  []settings.Operator
	Publisher  *rules.Publisher
	Replica    *rules.Replica
	KnownNames rules.KnownNames
	Trail      *audit.Trail
	// Journal receives the audit records.
	Journal    journal.Writer
	Quarantine Releaser
	Claims     ClaimHistory
	// Status returns the instance's current status.
	Status func() api.Status
	Logger *slog.Logger
	// WriteTimeout bounds the wait for the log, after which the outcome of a write is
	// unknown. The default is 8 s.
	WriteTimeout time.Duration
}

type handler struct {
	Deps
}

// Register adds the routes, each of which requires an operator's token.
func Register(app fiber.Router, d Deps) {
	if d.Logger == nil {
		d.Logger = slog.Default()
	}
	if d.WriteTimeout <= 0 {
		d.WriteTimeout = defaultWriteTimeout
	}
	h := &handler{Deps: d}
	auth := newAuthenticator(d.Operators, d.Logger)
	route := func(method, path string, serve fiber.Handler) {
		app.Add(method, path, auth.authenticate, serve)
	}
	route(fiber.MethodGet, api.PathRules, h.getRules)
	route(fiber.MethodPut, api.PathRules, h.putRules)
	route(fiber.MethodPost, api.PathValidate, h.validate)
	route(fiber.MethodGet, api.PathHistory, h.getHistory)
	route(fiber.MethodGet, api.PathAudit, h.getAudit)
	route(fiber.MethodGet, api.PathStatus, h.getStatus)
	route(fiber.MethodPost, api.PathQuarantineRelease, h.release)
	route(fiber.MethodPost, api.PathAcceptGap, h.acceptGap)
}

func sendError(c *fiber.Ctx, status int, message string) error {
	return c.Status(status).JSON(api.Error{Error: message})
}

// listLength returns the requested length of a list, limited to maxCount.
func listLength(c *fiber.Ctx) int {
	n := c.QueryInt(api.ParamCount, defaultCount)
	return min(max(n, 0), maxCount)
}

func (h *handler) getAudit(c *fiber.Ctx) error {
	return c.JSON(api.Audit{Records: h.Trail.Latest(listLength(c))})
}

func (h *handler) getStatus(c *fiber.Ctx) error { return c.JSON(h.Status()) }
