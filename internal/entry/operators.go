package entry

import (
	"context"
	"slices"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/entry/requestbody"
	"tamarackchute/internal/operator"
	"tamarackchute/internal/operator/api"
	"tamarackchute/quarantine"
	"tamarackchute/rules"
)

// Limits of the operators' address.
const (
	// operatorsMaxBody has room for the largest rule set with JSON escapes.
	operatorsMaxBody = 1 << 20
	// operatorsMaxHeld is what the bodies of all their requests may hold together.
	operatorsMaxHeld = 8 << 20
	operatorsTimeout = 15 * time.Second
	contentMetrics   = "text/plain; version=0.0.4; charset=utf-8"
)

// operatorsApp returns the application at the operators' address: the metrics page
// and, behind operator tokens, the operator API.
func (e *Entry) operatorsApp() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             operatorsMaxBody,
		StreamRequestBody:     true, // see requestbody.Use
		ReadTimeout:           operatorsTimeout,
		WriteTimeout:          operatorsTimeout,
	})
	requestbody.Use(app, operatorsMaxBody, bodylimit.New(operatorsMaxHeld))
	app.Get("/metrics", func(c *fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, contentMetrics)
		_, err := e.cfg.Metrics.Page.WriteTo(c)
		return err
	})
	known := api.KnownNames(e.cfg.Deployment)
	operator.Register(app, operator.Deps{
		Operators:  e.cfg.Deployment.Security.Operators,
		Publisher:  rules.NewPublisher(e.journal, e.replica, known),
		Replica:    e.replica,
		KnownNames: known,
		Trail:      e.trail,
		Journal:    e.journal,
		Quarantine: releasers{e.quarantine, e.serviceQuarantine},
		Claims:     e.claims,
		Status:     e.status,
		Logger:     e.log,
	})
	return app
}

// status returns the status page of this instance.
func (e *Entry) status() api.Status {
	claims := e.claims.Stats()
	s := api.Status{
		Instance:     e.self.Name,
		DataCentre:   e.self.DataCentre,
		Ready:        e.ready() == nil,
		ShuttingDown: e.gateway.ShuttingDown(),
		LogUp:        e.journal.Health().LogUp,
		Requests:     e.gateway.Active(),
		Claims:       api.ClaimStatus{Complete: claims.Complete, Keys: claims.Keys},
		Rules:        e.replica.Status(),
		Upstreams:    e.upstreamStatus(),
	}
	for _, m := range e.node.View().Members {
		s.Instances = append(s.Instances, api.InstanceStatus{
			Name: m.Name, DataCentre: m.DataCentre, State: m.State.String(),
		})
	}
	for name, scope := range e.leases.Snapshot().Scopes {
		if scope.Held {
			s.Leaders = append(s.Leaders, api.LeaderStatus{
				Scope: name, Holder: scope.Holder, FencingToken: uint64(scope.FencingToken), Since: scope.Since,
			})
		}
	}
	slices.SortFunc(s.Leaders, func(a, b api.LeaderStatus) int {
		return compareStrings(a.Scope, b.Scope)
	})
	return s
}

func (e *Entry) upstreamStatus() []api.UpstreamStatus {
	changes := e.orders.Snapshot()
	var all []api.UpstreamStatus
	for _, u := range e.tracker.Snapshot().Upstreams(time.Now()) {
		one := api.UpstreamStatus{
			Name:       u.Name,
			Kind:       string(u.Kind),
			DataCentre: u.DataCentre,
			Pool:       u.Pool,
			Role:       string(u.Role),
			Usable:     !u.Terminating && !u.Draining && !u.Ejected,
			InFlight:   u.InFlight,
		}
		if change := changes.Engine(u.Name).Open(); change != nil {
			one.Change = change.Phase.String()
		}
		all = append(all, one)
	}
	return all
}

// releasers releases a request at each guard: its digest doesn't say which one holds it.
type releasers []*quarantine.Guard

// Release implements operator.Releaser.
func (r releasers) Release(ctx context.Context, release quarantine.Release) error {
	for _, guard := range r {
		if err := guard.Release(ctx, release); err != nil {
			return err
		}
	}
	return nil
}
