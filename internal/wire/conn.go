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
	input   *input
	reader  *bufio.Reader
	peer    string
	out, in *sealer
	limits  Limits
}

func newConn(raw net.Conn, s session, limits Limits) *conn {
	in := &input{raw: raw, idle: limits.Idle, received: func(int) {}}
	return &conn{
		raw:    raw,
		input:  in,
		reader: bufio.NewReader(in),
		peer:   s.peer,
		out:    newSealer(s.sendKey),
		in:     newSealer(s.receiveKey),
		limits: limits,
	}
}

// input reads a connection and says how much has arrived. A peer whose instance has failed doesn't close
// its connection. Pings arrive well within idle, so a longer silence means that the connection is dead;
// a frame that arrives slowly doesn't.
type input struct {
	raw      net.Conn
	idle     time.Duration
	received func(n int)
}

// Read implements io.Reader.
func (i *input) Read(b []byte) (int, error) {
	if err := i.raw.SetReadDeadline(time.Now().Add(i.idle)); err != nil {
		return 0, err
	}
	n, err := i.raw.Read(b)
	i.received(n)
	return n, err
}

// writeChunk is how many bytes of a frame have to be written within Limits.Write.
const writeChunk = 32 << 10

// write writes a frame. A peer that has stopped reading fills the socket's buffer and would block the
// write forever; one that reads slowly gets its time.
func (c *conn) write(frame []byte) error {
	for len(frame) > 0 {
		if err := c.raw.SetWriteDeadline(time.Now().Add(c.limits.Write)); err != nil {
			return err
		}
		n := min(len(frame), writeChunk)
		if _, err := c.raw.Write(frame[:n]); err != nil {
			return err
		}
		frame = frame[n:]
	}
	return nil
}

func (c *conn) send(m Message) error {
	frame, err := c.out.seal(m)
	if err != nil {
		return err
	}
	return c.write(frame)
}

func (c *conn) receive() (Message, error) {
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
