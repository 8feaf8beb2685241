package wire

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// conn is an authenticated connection. One goroutine may call send while another
// one calls receive.
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
	// the write forever.
	if err := c.raw.SetWriteDeadline(time.Now().Add(c.limits.Write)); err != nil {
		return err
	}
	_, err = c.raw.Write(frame)
	return err
}

func (c *conn) receive() (Message, error) {
	// A peer whose instance has failed doesn't close its connection. Pings arrive
	// well within the limit, so a longer silence means that the connection is dead.
	if err := c.raw.SetReadDeadline(time.Now().Add(c.limits.Idle)); err != nil {
		return nil, err
	}
	data, err := readPrefixed(c.reader, MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	return c.in.open(data)
}

// run sends the outbox's messages and passes received ones to handle until either
// direction fails or the context ends. It closes the connection and returns the
// first error.
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

// sendAll sends a ping only if nothing else was sent in the last interval, since any
// message shows that the connection is alive. The longest silence is therefore twice
// the ping interval.
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
