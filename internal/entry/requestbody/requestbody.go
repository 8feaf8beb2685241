// Package requestbody reads the bodies of callers' requests within the limits on all of them, before any handler runs.
package requestbody

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/graceful"
)

// Refusals of requests whose bodies aren't read. Such a request hasn't run.
var (
	errNoRoom = fiber.NewError(fiber.StatusServiceUnavailable, "the bodies of other requests leave no room")
	errLate   = fiber.NewError(fiber.StatusRequestTimeout, "the body has not come in time")
	errBroken = fiber.NewError(fiber.StatusBadRequest, "the body can't be read")
)

// headerTooLarge marks a request whose body is announced as too large. Its length is dropped, as the server would wait for
// the first bytes of such a body, and the connection ends with the response: the body must not be read as a request.
const headerTooLarge = "Tamarackchute-Body-Too-Large"

// Use makes an application read each request's body of at most limit bytes, which counts among the bodies of all requests
// until the handlers that are added later return. The application has to stream requests: otherwise their memory is
// allocated by what they announce. all may be nil.
func Use(app *fiber.App, limit int, all *bodylimit.Limit) {
	app.Server().HeaderReceived = func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		h.Del(headerTooLarge)
		if h.ContentLength() > limit {
			h.Set(headerTooLarge, "1")
			h.SetContentLength(0)
			h.SetConnectionClose()
		}
		return fasthttp.RequestConfig{}
	}
	app.Use(handler(int64(limit), all))
}

func handler(limit int64, all *bodylimit.Limit) fiber.Handler {
	return func(c *fiber.Ctx) error {
		in := c.Context()
		request := graceful.FromConn(in.Conn())
		request.HeadRead()
		share := all.Share()
		defer share.Release()
		if err := read(c, request, limit, share); err != nil {
			in.Response.SetConnectionClose() // the rest of the body isn't read
			return err
		}
		if !request.Complete() {
			in.Response.SetConnectionClose()
			return errNoRoom
		}
		return c.Next()
	}
}

func read(c *fiber.Ctx, request graceful.Request, limit int64, share *bodylimit.Share) error {
	in := c.Context()
	if len(in.Request.Header.Peek(headerTooLarge)) > 0 {
		return fiber.ErrRequestEntityTooLarge
	}
	stream := in.RequestBodyStream()
	if stream == nil {
		return nil // there is none
	}
	body, err := bodylimit.ReadAll(stream, int64(in.Request.Header.ContentLength()), limit, share, request.MakeRoom)
	switch {
	case errors.Is(err, bodylimit.ErrTooLarge):
		return fiber.ErrRequestEntityTooLarge
	case errors.Is(err, bodylimit.ErrExceeded), request.Evicted():
		return errNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return errLate
	case err != nil && !errors.Is(err, io.EOF):
		return errBroken
	}
	in.Request.SetBodyRaw(body)
	return nil
}
