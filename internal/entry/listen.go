package entry

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
)

// closeTimeout bounds the end of an address's last connections.
const closeTimeout = 2 * time.Second

// listener serves a fiber application on an address. It is a suture service.
type listener struct {
	name string
	addr string
	tls  *tls.Config
	app  *fiber.App
}

func (l *listener) String() string { return l.name + " " + l.addr }

// Serve answers until ctx ends, then lets requests in progress end.
func (l *listener) Serve(ctx context.Context) error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return eris.Wrapf(err, "%s address %s can't be taken", l.name, l.addr)
	}
	if l.tls != nil {
		ln = tls.NewListener(ln, l.tls)
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = l.app.ShutdownWithTimeout(closeTimeout)
	})
	err = l.app.Listener(ln)
	if !stop() {
		<-closed
		return ctx.Err()
	}
	return eris.Wrapf(err, "%s address %s", l.name, l.addr)
}
