package gateway

import (
	"strings"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/reqtarget"
)

// targetOf returns a copy of the request's target.
func targetOf(c *fiber.Ctx) reqtarget.Target {
	return reqtarget.Parse(strings.Clone(string(c.Request().Header.RequestURI())))
}

// refuseAmbiguous refuses requests whose target fiber's router reads in another way than the rules, which
// decide by what services get: one with a fragment, or without a host and with a path like an authority.
func (g *Gateway) refuseAmbiguous(c *fiber.Ctx) error {
	if c.Path() == targetOf(c).Path {
		return c.Next()
	}
	f := outcome.Refused(fiber.StatusBadRequest, outcome.CodeInvalidRequest, "the request's target can't be read")
	g.metrics.failed(f)
	return writeFailure(c, f)
}
