package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/graceful"
)

// closeTimeout bounds the wait for an address's last connections to close.
const closeTimeout = 2 * time.Second

// listener serves a fiber application on an address. It is a suture service.
type listener struct {
	name string
	addr string
	tls  *tls.Config
	app  *fiber.App
	// conns tracks the connections, so that a shutdown cuts off no request.
	conns *graceful.Connections
	// bound is the open socket until the first Serve uses it.
	bound net.Listener
}

func newListener(name, addr string, secure *tls.Config, app *fiber.App, log *slog.Logger) *listener {
	conns := graceful.New(log)
	if secure != nil {
		conns = graceful.NewTLS(log)
	}
	return &listener{name: name, addr: addr, tls: secure, app: app, conns: conns}
}

func (l *listener) String() string { return l.name + " " + l.addr }

// bind opens the address, so that an invalid or occupied one ends the program at
// startup instead of being retried by the supervisor.
func (l *listener) bind() error {
	ln, err := graceful.Bind(l.addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s address %s", l.name, l.addr)
	}
	ln = l.conns.Listen(ln)
	if l.tls != nil {
		ln = tls.NewListener(ln, l.tls)
	}
	l.app.Server().ConnState = func(c net.Conn, s fasthttp.ConnState) { l.conns.ConnState(c, http.ConnState(s)) }
	l.bound = ln
	return nil
}

// Serve serves requests until ctx ends, then waits for those in progress.
func (l *listener) Serve(ctx context.Context) error {
	if l.bound == nil {
		if err := l.bind(); err != nil {
			return err
		}
	}
	ln := l.bound
	l.bound = nil
	err := httpx.Serve(ctx, l.app, ln, closeTimeout)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return eris.Wrapf(err, "%s address %s", l.name, l.addr)
}
