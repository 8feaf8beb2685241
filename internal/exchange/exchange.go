package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// maxForeign bounds the answers to earlier requests that are read past before
// the connection is given up.
const maxForeign = 2

// maxForeignBytes bounds the body of such an answer.
const maxForeignBytes = 1 << 20

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if it isn't known.
	Length int64

	body io.ReadCloser
	pool *Pool
	conn *conn
	stop func() bool
	sent chan error
	// whole is set once the body has been read to its proper end.
	whole bool
	keep  bool
}

// Do sends a request and returns the head of its answer. The context bounds the
// whole exchange, the reading of the body included: its end closes the
// connection, which upstreams take as a cancel. Errors are a *NotSentError or a
// *LostError.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.take(r.NonIdempotent, time.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, err
		}
	}
	if err := ctx.Err(); err != nil {
		c.close()
		return nil, &NotSentError{Cause: err}
	}
	kept := c.used
	c.used = true
	stop := context.AfterFunc(ctx, c.close)
	resp := &Response{pool: p, conn: c, stop: stop, sent: make(chan error, 1)}
	if err := resp.exchange(r, kept); err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			err = errors.Join(err, ctx.Err())
		}
		return nil, &NoResponseError{Cause: err, ReusedConn: kept}
	}
	return resp, nil
}

// exchange sends the request and reads the head of its answer. Only on a kept
// connection can an answer to an earlier request come first.
func (resp *Response) exchange(r *Request, kept bool) error {
	if len(r.Body) < writeBuffer {
		resp.sent <- r.write(resp.conn.writer)
	} else {
		// An upstream may answer before it has read a long body, and reads on
		// only later: writing and reading go side by side, or both ends wait.
		go func() { resp.sent <- r.write(resp.conn.writer) }()
	}
	for range maxForeign + 1 {
		answer, err := resp.readHead(r.Method)
		if err != nil {
			return err
		}
		if r.IDHeader == "" || answer.Header.Get(r.IDHeader) == r.ID {
			return resp.adopt(answer)
		}
		if !kept {
			return ErrMismatchedResponse
		}
		if err := skip(answer); err != nil {
			return err
		}
	}
	return ErrMismatchedResponse
}

// readHead reads the head of the next final answer.
func (resp *Response) readHead(method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(resp.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// skip reads past an answer that came late to an earlier request.
func skip(answer *http.Response) error {
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return ErrMismatchedResponse // it lasts until the connection ends
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxForeignBytes))
	if err == nil && n == maxForeignBytes {
		return ErrMismatchedResponse
	}
	return err
}

func (resp *Response) adopt(answer *http.Response) error {
	resp.Status = answer.StatusCode
	resp.Header = answer.Header
	resp.Length = answer.ContentLength
	resp.body = answer.Body
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	resp.keep = framed && !answer.Close
	limit, ok := keepAlive(answer.Header.Get("Keep-Alive"))
	if ok {
		resp.conn.idleLimit = limit
	}
	return nil
}

// Read reads the body. io.EOF means that it is complete by its framing; a body
// that is cut short ends with another error.
func (resp *Response) Read(b []byte) (int, error) {
	n, err := resp.body.Read(b)
	if err == io.EOF {
		resp.whole = true
	}
	return n, err
}

// ReadAll reads the whole body. One of more than limit bytes is an error: what was
// read of it must not pass for the whole.
func (resp *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, ErrResponseTooLarge
	}
	return body, err
}

// Close ends the exchange. The connection is kept only if the whole answer was
// read, the whole request was sent, and nothing more has come.
func (resp *Response) Close() {
	usable := resp.stop() && resp.keep && resp.whole && resp.requestSent()
	if !usable || resp.conn.reader.Buffered() > 0 {
		resp.conn.close()
		return
	}
	resp.pool.put(resp.conn, time.Now())
}

// requestSent reports whether the whole request went out. If the upstream
// answered before it had read a long body, it would take the next request's
// first bytes for the rest of it.
func (resp *Response) requestSent() bool {
	select {
	case err := <-resp.sent:
		return err == nil
	default:
		return false
	}
}
