package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/upstream"
)

const (
	// maxBufferedEvents bounds the tokens read ahead of the caller. If the caller
	// doesn't read, the buffer fills, the engine's connection isn't read any more, and
	// the engine has to wait too.
	maxBufferedEvents = 8
	// writeBatchBytes is how much is collected for one write to the caller.
	writeBatchBytes = 2048
)

var (
	heartbeatComment = []byte(":\n\n")
	doneEvent        = []byte("data: [DONE]\n\n")
)

// event is a token of a stream or its end. idPrefix is set on the first token of
// each attempt.
type event struct {
	token    upstream.Token
	idPrefix string
	usage    *openai.Usage
	failure  *outcome.Failure
}

// sse is the body of a streamed response. One goroutine, the pump, reads from the
// engine; the connection's goroutine calls Read, which returns events and, while there
// are none, heartbeats.
type sse struct {
	gateway   *Gateway
	modelCall *modelCall
	conn      net.Conn
	chunks    *openai.ChunkEncoder
	digest    stream.RequestDigest
	events    chan event
	// closed is closed with the body, after which nobody reads events.
	closed    chan struct{}
	closeOnce sync.Once

	heartbeat *time.Ticker
	// deadlineSetAt is when the write deadline was last extended.
	deadlineSetAt time.Time
	// idle is set by each heartbeat tick and reset by each event.
	idle     bool
	idPrefix string
	buf      []byte
	offset   int
	ended    bool
}

// stream sends the answer as server-sent events. It waits for the first event, but
// not longer than one heartbeat, so that a request that fails before its first token
// gets an ordinary HTTP error.
func (g *Gateway) stream(c *fiber.Ctx, k *call, r *modelCall) *outcome.Failure {
	g.forwarded.keep(c, k)
	s := g.newSSE(c.Context().Conn(), r, stream.NewRequestDigest(k.organisation, k.path, c.BodyRaw()))
	g.pumps.Go(s.pump)
	if f := s.awaitFirst(); f != nil {
		s.heartbeat.Stop()
		g.forwarded.remove(k)
		return f
	}
	g.metrics.streams.Inc(1)
	c.Set(headerRequestID, k.id)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	// The server resets this deadline when the response is sent; Read extends it.
	_ = c.Context().SetWriteDeadline(time.Now().Add(g.opts.WriteTimeout))
	c.Context().SetBodyStream(s, -1)
	return nil
}

func (g *Gateway) newSSE(conn net.Conn, r *modelCall, digest stream.RequestDigest) *sse {
	request := &r.job.Request
	return &sse{
		gateway:   g,
		modelCall: r,
		conn:      conn,
		chunks:    openai.NewChunkEncoder(request.Kind, r.job.Answer, request.Model, r.job.Created.Unix()),
		digest:    digest,
		events:    make(chan event, maxBufferedEvents),
		closed:    make(chan struct{}),
		heartbeat: time.NewTicker(g.opts.Heartbeat),
	}
}

// awaitFirst waits for the first token or heartbeat, and returns the failure of an
// answer that fails before it.
func (s *sse) awaitFirst() *outcome.Failure {
	select {
	case e := <-s.events:
		if e.failure != nil {
			return e.failure
		}
		s.appendEvent(e)
	case <-s.heartbeat.C:
		s.buf = append(s.buf, heartbeatComment...)
	}
	return nil
}

// pump passes the answer's tokens to Read until the answer or the call ends.
func (s *sse) pump() {
	defer close(s.events)
	f := s.forwardTokens()
	s.gateway.finish(s.modelCall, f)
	last := event{failure: f}
	if f == nil {
		last.usage = s.usage()
	}
	select {
	case s.events <- last:
	case <-s.closed:
	}
}

func (s *sse) forwardTokens() *outcome.Failure {
	attempt := 0
	for {
		t, err := s.gateway.next(s.modelCall)
		if errors.Is(err, io.EOF) {
			return nil
		}
		var f *outcome.Failure
		if errors.As(err, &f) {
			return f
		}
		e := event{token: t}
		if n := s.modelCall.answer.Attempt(); n != attempt {
			attempt = n
			e.idPrefix = s.gateway.deps.Signer.Prefix(s.modelCall.answer.Origin(), s.digest)
		}
		if f := s.send(e); f != nil {
			return f
		}
	}
}

// send waits until there is room for one more event. It also ends with the call, so
// that a caller that doesn't read occupies no engine beyond the deadline.
func (s *sse) send(e event) *outcome.Failure {
	select {
	case s.events <- e:
		return nil
	case <-s.modelCall.call.ctx.Done():
		return s.modelCall.answer.ContextFailure(s.modelCall.call.ctx)
	}
}

func (s *sse) usage() *openai.Usage {
	prompt, cached := s.modelCall.answer.PromptTokens()
	u := openai.NewUsage(prompt, cached, s.modelCall.answer.Tokens())
	return &u
}

// Read returns the next events to the server, which writes them at once.
func (s *sse) Read(p []byte) (int, error) {
	if s.offset == len(s.buf) {
		if s.ended {
			return 0, io.EOF
		}
		s.buf, s.offset = s.buf[:0], 0
		s.fill()
		s.extendWriteDeadline()
	}
	n := copy(p, s.buf[s.offset:])
	s.offset += n
	return n, nil
}

// extendWriteDeadline gives the caller WriteTimeout from now on. It skips updates for
// a tenth of that time, so the deadline may come up to a tenth early.
func (s *sse) extendWriteDeadline() {
	now := time.Now()
	timeout := s.gateway.opts.WriteTimeout
	if now.Sub(s.deadlineSetAt) < timeout/10 {
		return
	}
	s.deadlineSetAt = now
	_ = s.conn.SetWriteDeadline(now.Add(timeout))
}

// fill waits for an event or a heartbeat, and then adds further events that are
// already available.
func (s *sse) fill() {
	for len(s.buf) == 0 && !s.ended {
		select {
		case e, open := <-s.events:
			s.receive(e, open)
		case <-s.heartbeat.C:
			if s.idle {
				s.buf = append(s.buf, heartbeatComment...)
			}
			s.idle = true
		}
	}
	for len(s.buf) < writeBatchBytes && !s.ended {
		select {
		case e, open := <-s.events:
			s.receive(e, open)
		default:
			return
		}
	}
}

func (s *sse) receive(e event, open bool) {
	s.idle = false
	if !open {
		// The pump always sends a last event, unless it panicked.
		e = event{failure: &outcome.Failure{
			Status: fiber.StatusInternalServerError, Code: outcome.CodeInternal,
			Message: "the stream broke inside the instance", Execution: outcome.MayHaveRun,
		}}
	}
	s.appendEvent(e)
}

// appendEvent appends an event in the server-sent events format.
func (s *sse) appendEvent(e event) {
	switch {
	case e.failure != nil:
		s.appendFailure(e.failure)
		s.ended = true
	case e.usage != nil:
		if s.modelCall.job.Request.IncludeUsage {
			s.buf = append(s.buf, "data: "...)
			s.buf = s.chunks.AppendUsage(s.buf, *e.usage)
			s.buf = append(s.buf, "\n\n"...)
		}
		s.buf = append(s.buf, doneEvent...)
		s.ended = true
	default:
		s.appendToken(e)
	}
}

func (s *sse) appendToken(e event) {
	if e.idPrefix != "" {
		s.idPrefix = e.idPrefix
	}
	s.buf = append(s.buf, "id: "...)
	s.buf = stream.AppendID(s.buf, s.idPrefix, e.token.Index)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = s.chunks.AppendToken(s.buf, e.token.Text, e.token.Finish)
	s.buf = append(s.buf, "\n\n"...)
}

// appendFailure appends the error event of a stream that can't be completed. No
// [DONE] follows, so that the answer can't be taken for a complete one.
func (s *sse) appendFailure(f *outcome.Failure) {
	s.gateway.metrics.failed(f)
	if f.RetryAfter > 0 {
		s.buf = append(s.buf, "retry: "...)
		s.buf = strconv.AppendInt(s.buf, f.RetryAfter.Milliseconds(), 10)
		s.buf = append(s.buf, '\n')
	}
	s.buf = append(s.buf, "event: error\ndata: "...)
	body, err := json.Marshal(errorBody(f))
	if err != nil {
		panic(err) // a struct of strings always has a JSON form
	}
	s.buf = append(s.buf, body...)
	s.buf = append(s.buf, "\n\n"...)
}

// Close is called by the server when the response is sent or its connection has
// failed. It cancels the engine's work unless it is complete.
func (s *sse) Close() error {
	s.closeOnce.Do(func() {
		s.heartbeat.Stop()
		close(s.closed)
		s.modelCall.call.end()
		s.gateway.forwarded.remove(s.modelCall.call)
		s.gateway.active.Add(-1)
	})
	return nil
}
