package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/outcome"
)

const (
	// headerForwardID names a forwarded request, so that the instance which has its caller can say that this one has left.
	// The end of their connection then means that the instance has ended.
	headerForwardID = "Chute-Forward-Id"
	// LeftPath and a forwarded request's name is where an instance says that its caller has left: 204.
	LeftPath = "/-/left/"
	// maxForwardID limits such a name, in bytes.
	maxForwardID = 64
	// leftTimeout limits the time to say so.
	leftTimeout = 250 * time.Millisecond
)

// forwardedStreams are the streams that this instance serves for others, by the names that they gave them.
type forwardedStreams struct {
	mu    sync.Mutex
	calls map[string]*call
}

// keep lets a stream outlive the instance that passed it on, if that one has named it.
func (f *forwardedStreams) keep(c *fiber.Ctx, k *call) {
	id, ok := c.Locals(localForwardID{}).(string)
	if !ok || id == "" || len(id) > maxForwardID {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = make(map[string]*call)
	}
	f.calls[id] = k
	k.forwardID = id
	k.keptFor.Store(true)
}

func (f *forwardedStreams) remove(k *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls[k.forwardID] == k {
		delete(f.calls, k.forwardID)
	}
}

// left ends the stream of a caller that has left.
func (f *forwardedStreams) left(id string) {
	f.mu.Lock()
	k := f.calls[id]
	f.mu.Unlock()
	if k != nil {
		k.cancel(callerwatch.ErrGone)
	}
}

// callerLeft takes the word that the caller of a forwarded stream has left.
func (g *Gateway) callerLeft(c *fiber.Ctx) error {
	g.forwarded.left(c.Params("id"))
	return c.SendStatus(fiber.StatusNoContent)
}

// Read implements io.Reader. It ends with the call.
func (b *passedBody) Read(p []byte) (int, error) {
	stop := context.AfterFunc(b.call.ctx, b.giveUp)
	defer stop()
	n, err := b.Stream.Read(p)
	b.complete = b.complete || errors.Is(err, io.EOF)
	_ = b.conn.SetWriteDeadline(time.Now().Add(b.gateway.opts.WriteTimeout))
	return n, err
}

// giveUp closes the other instance's connection. Unless this instance stops, the caller doesn't come back for the rest.
func (b *passedBody) giveUp() {
	if !outcome.KeepsStream(context.Cause(b.call.ctx)) {
		ctx, cancel := context.WithTimeout(context.Background(), leftTimeout)
		defer cancel()
		b.peer.Left(ctx, b.forwardID)
	}
	b.Abort()
}

// Close implements io.Closer.
func (b *passedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.complete {
		b.giveUp()
	}
	err := b.Stream.Close()
	b.call.end()
	b.gateway.active.Add(-1)
	return err
}
