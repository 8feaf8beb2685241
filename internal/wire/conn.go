package wire

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// conn is an authenticated connection. Its send and receive may each be used by
// one goroutine.
type conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	peer    string
	out, in *sealer
	limits  Limits
}

func newConn(raw net.Conn, s session, limits Limits) *conn {
	return &conn{
		raw:    raw,
		reader: bufio.NewReader(raw),
		peer:   s.peer,
		out:    newSealer(s.sendKey),
		in:     newSealer(s.receiveKey),
		limits: limits,
	}
}

func (c *conn) send(m Message) error {
	frame, err := c.out.seal(m)
	if err != nil {
		return err
	}
	// A peer that has stopped reading fills the socket's buffer and would block
	// the write for good.
	if err := c.raw.SetWriteDeadline(time.Now().Add(c.limits.Write)); err != nil {
		return err
	}
	_, err = c.raw.Write(frame)
	return err
}

func (c *conn) receive() (Message, error) {
	// A peer whose instance vanished sends no close. Pings come well within the
	// limit, so silence beyond it means that the connection is dead.
	if err := c.raw.SetReadDeadline(time.Now().Add(c.limits.Idle)); err != nil {
		return nil, err
	}
	data, err := readPrefixed(c.reader, MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	return c.in.open(data)
}

// run sends what comes into the outbox and hands received messages on until
// either fails or the context ends. It returns the error of the side that
// failed first and leaves the connection closed.
func (c *conn) run(ctx context.Context, outbox *outbox, handle func(Message)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer stop()

	var wg conc.WaitGroup
	wg.Go(func() { cancel(c.sendAll(ctx, outbox)) })
	wg.Go(func() { cancel(c.receiveAll(handle)) })
	wg.Wait()
	_ = c.raw.Close()
	return context.Cause(ctx)
}

func (c *conn) receiveAll(handle func(Message)) error {
	for {
		m, err := c.receive()
		if err != nil {
			return err
		}
		if m.Kind() != KindPing {
			handle(m)
		}
	}
}

// sendAll pings a peer only while there is nothing else to send: any message shows
// that the connection lives. The longest silence is twice the time between pings.
func (c *conn) sendAll(ctx context.Context, outbox *outbox) error {
	ping := time.NewTicker(c.limits.Ping)
	defer ping.Stop()
	silent := true
	for {
		for m, ok := outbox.take(); ok; m, ok = outbox.take() {
			if err := c.send(m); err != nil {
				return err
			}
			silent = false
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-outbox.filled:
			continue
		case <-ping.C:
		}
		if silent {
			if err := c.send(Ping{}); err != nil {
				return err
			}
		}
		silent = true
	}
}
