package engineclient

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// lineBuffer is the size of a stream's line buffer in bytes; longer lines are
// read piecewise up to maxLine.
const (
	lineBuffer = 512
	maxLine    = 64 << 10
)

var (
	errLineTooLong = errors.New("token line is too long")
	errClosed      = errors.New("stream was closed by its reader")
)

// stream is a running answer. It holds one line at most: what the caller
// hasn't asked for stays in the sockets and then with the engine.
type stream struct {
	body    *httpx.Stream
	attempt string
	cancels *canceller
	lines   *bufio.Reader

	mu       sync.Mutex // guards all but the constant fields above
	watched  context.Context
	unwatch  func() bool
	finished bool // the last token has been read
	closed   bool
}

func newStream(body *httpx.Stream, attempt string, cancels *canceller) *stream {
	return &stream{
		body:    body,
		attempt: attempt,
		cancels: cancels,
		lines:   bufio.NewReaderSize(body, lineBuffer),
	}
}

// Next implements upstream.TokenStream. The end of ctx breaks the stream off.
func (s *stream) Next(ctx context.Context) (upstream.Token, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.finished:
		return upstream.Token{}, io.EOF
	case s.closed:
		return upstream.Token{}, httpx.Broken(errClosed)
	}
	s.watch(ctx)
	line, err := s.readLine()
	if err != nil {
		return upstream.Token{}, httpx.Broken(contextCause(ctx, err))
	}
	var t TokenLine
	if err := json.Unmarshal(line, &t); err != nil {
		return upstream.Token{}, httpx.Broken(err)
	}
	if t.Finish != "" {
		s.finish()
	}
	return upstream.Token(t), nil
}

// watch breaks the stream off when ctx ends. Callers pass the same context
// again and again, so it is watched until another comes.
func (s *stream) watch(ctx context.Context) {
	if s.watched == ctx {
		return
	}
	if s.unwatch != nil {
		s.unwatch()
	}
	s.watched = ctx
	s.unwatch = context.AfterFunc(ctx, s.body.Abort)
}

func (s *stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, unexpectedEOF(err)
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxLine {
			return nil, errLineTooLong
		}
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, unexpectedEOF(err)
}

// truncated turns the body's end, which must not come before the last token,
// into an error that can't be taken for a whole answer.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// finish reads the body's end after the last token, so that the connection can
// serve other requests.
func (s *stream) finish() {
	s.finished = true
	if _, err := s.lines.ReadByte(); err != io.EOF {
		_ = s.body.Close()
	}
	s.unwatch()
}

// Close implements upstream.TokenStream. Unless the answer was read whole, it
// closes the connection, which ends a Next in progress, and sends a cancel, as
// an engine that is silent at the moment doesn't notice the first.
func (s *stream) Close() error {
	s.body.Abort()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	if s.unwatch != nil {
		s.unwatch()
	}
	if s.finished {
		return nil
	}
	s.cancels.send(s.attempt)
	return s.body.Close()
}

func contextCause(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}
