package httpx

import (
	"context"
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

// Stream is a response whose body is read as it arrives. It holds two small
// buffers; the rest of an unread body stays at the sender.
type Stream struct {
	exchange *exchange
	resp     *fasthttp.Response
	// reading is held while Read is in progress.
	reading sync.Mutex
	ended   bool
}

// Stream sends a request and returns once the response header has been received.
// The context and Options.Timeout apply only until then.
func (c *Client) Stream(ctx context.Context, req *fasthttp.Request) (*Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	x, err := c.start(ctx, req)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, x.abort)
	s := &Stream{exchange: x, resp: &fasthttp.Response{StreamBody: true}}
	err = x.send(req)
	if err == nil {
		err = x.receive(s.resp, 0)
	}
	if err == nil && !stop() {
		// The context ended meanwhile, which closes the connection.
		err = ctx.Err()
	}
	if err != nil {
		c.failed(ctx)
		stop()
		x.end(false)
		return nil, Broken(contextCause(ctx, err))
	}
	return s, nil
}

// Header returns the response header.
func (s *Stream) Header() *fasthttp.ResponseHeader { return &s.resp.Header }

// Read reads from the body. At the end of the body the connection becomes available
// to other requests. Read and Close may be called from different goroutines.
func (s *Stream) Read(p []byte) (int, error) {
	s.reading.Lock()
	defer s.reading.Unlock()
	if s.ended {
		return 0, io.EOF
	}
	body := s.resp.BodyStream()
	if body == nil { // the status allows no body
		s.finish(!s.resp.ConnectionClose())
		return 0, io.EOF
	}
	n, err := body.Read(p)
	if err == nil {
		return n, nil
	}
	s.finish(err == io.EOF && !s.resp.ConnectionClose())
	return n, err
}

// Abort closes the connection unless the body has ended. A Read in progress fails.
func (s *Stream) Abort() { s.exchange.abort() }

// Close ends the stream. The connection is closed unless the body was read to its end.
func (s *Stream) Close() error {
	s.Abort()
	s.reading.Lock()
	defer s.reading.Unlock()
	if !s.ended {
		s.finish(false)
	}
	return nil
}

func (s *Stream) finish(reuse bool) {
	s.ended = true
	_ = s.resp.CloseBodyStream()
	s.exchange.end(reuse)
}

// Drain reads the rest of a short body, such as an error message, up to max bytes,
// and closes the stream.
func (s *Stream) Drain(ctx context.Context, max int64) []byte {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	body, _ := io.ReadAll(io.LimitReader(s, max))
	_ = s.Close()
	return body
}
