package entry

import (
	"errors"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/entry/discovery"
	"tamarackchute/membership"
	"tamarackchute/platform"
)

type allLive struct{}

func (allLive) State(string) membership.State { return membership.Live }

func (e *Entry) members() discovery.Members { return allLive{} }

func (e *Entry) leave() {}

func (e *Entry) entries() int { return len(e.cfg.Deployment.Instances) }

func (e *Entry) listTakers() []func([]platform.Instance) {
	return []func([]platform.Instance){e.tracker.SetList}
}

var errLeaving = errors.New("leaving")
var errNoRules = errors.New("rules are not known yet")

func (e *Entry) ready() error {
	if e.gateway.Leaving() {
		return errLeaving
	}
	if (ruleSource{e.rules, e.journal.CaughtUp()}).current() == nil {
		return errNoRules
	}
	return nil
}

func (e *Entry) operatorsApp() *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Get("/metrics", func(c *fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
		_, err := e.cfg.Metrics.Page.WriteTo(c)
		return err
	})
	return app
}
