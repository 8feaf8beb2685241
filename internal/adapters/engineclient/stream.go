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

// lineBuffer is the size of a stream's line buffer in bytes. Longer lines, up to
// maxLine, are assembled from several reads.
const (
	lineBuffer = 512
	maxLine    = 64 << 10
)

var (
	errLineTooLong = errors.New("token line is too long")
	errClosed      = errors.New("stream was closed by its consumer")
)

// stream is a response in progress. It buffers little more than one line: data that
// the consumer hasn't read stays in the socket buffers and, beyond them, at the engine.
type stream struct {
	body    *httpx.Stream
	attempt string
	cancels *canceller
	lines   *bufio.Reader

	mu       sync.Mutex // guards all but the constant fields above
	watched  context.Context
	unwatch  func() bool
	finished bool // the last token was read
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

// Next implements upstream.TokenStream. The stream is aborted when ctx ends.
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

// watch aborts the stream when ctx ends. As calls usually pass the same context,
// it is registered once and stays so until a call passes another one.
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

// unexpectedEOF turns io.EOF, which before the last token means a truncated body,
// into an error that can't be mistaken for the end of a complete response.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// finish reads the end of the body after the last token, so that the connection can
// be reused.
func (s *stream) finish() {
	s.finished = true
	if _, err := s.lines.ReadByte(); err != io.EOF {
		_ = s.body.Close()
	}
	s.unwatch()
}

// Close implements upstream.TokenStream. Unless the response was read completely, it
// closes the connection, which makes a Next in progress fail, and sends a cancel,
// because an engine that isn't sending doesn't notice the closed connection.
func (s *stream) Close() error { return s.end(func() { s.cancels.send(s.attempt) }) }

// Leave implements upstream.Leaver.
func (s *stream) Leave() { _ = s.end(func() {}) } // fails only if the connection is closed already

// end closes the connection, and calls unfinished if the response wasn't read completely.
func (s *stream) end(unfinished func()) error {
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
	unfinished()
	return s.body.Close()
}

// contextCause returns the context's error if the context has ended, else err.
func contextCause(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}
