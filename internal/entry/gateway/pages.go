package gateway

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/entry/openai"
)

// healthz reports that the process is running.
func (g *Gateway) healthz(c *fiber.Ctx) error { return c.SendString("ok\n") }

// readyz reports whether callers may use this instance.
func (g *Gateway) readyz(c *fiber.Ctx) error {
	if err := g.deps.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

// where lists the addresses that the caller may connect to.
func (g *Gateway) locate(c *fiber.Ctx) error {
	a := g.deps.Directory.Locate(c.Query("data_centre"))
	c.Set(fiber.HeaderCacheControl, "max-age="+strconv.Itoa(int(a.MaxAgeSeconds)))
	return c.JSON(a)
}

// models lists the models that the deployment's engines serve.
func (g *Gateway) models(c *fiber.Ctx) error {
	return c.JSON(openai.NewModelList(g.opts.Models))
}

func elapsed(k *call) time.Duration { return time.Since(k.began) }

func unixTime(unixSeconds int64) time.Time { return time.Unix(unixSeconds, 0) }
