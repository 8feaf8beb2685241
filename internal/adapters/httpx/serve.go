package httpx

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
)

// Serve serves requests on a listener until the context ends, then waits at most grace for
// requests in progress. It returns the context's error, or the server's if that ended first.
// It also closes the listener, because a server that is shut down before it has begun to
// accept ignores the shutdown and would serve forever.
func Serve(ctx context.Context, app *fiber.App, ln net.Listener, grace time.Duration) error {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		_ = app.ShutdownWithTimeout(grace) // an error only means that requests were aborted
		_ = ln.Close()                     // fails if the server has closed it already
	})
	err := app.Listener(ln)
	if !stop() {
		<-ended
		return ctx.Err()
	}
	return err
}
