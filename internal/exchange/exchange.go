package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/responsestatus"
	"tamarackchute/internal/transfer"
)

// maxStaleResponses limits the responses to earlier requests that are discarded before
// the connection is closed.
const maxStaleResponses = 2

// maxStaleBytes limits the body of a discarded response.
const maxStaleBytes = 1 << 20

// Response is the response of one exchange, with its body still to be read. Close must be
// called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if it isn't known.
	Length int64
	// Framed says that a length or chunks tell where the body ends. One without ends with its
	// connection.
	Framed bool

	response *http.Response
	body     io.ReadCloser
	pool     *Pool
	conn     *conn
	// stop keeps the end of the context from closing conn; it returns false if it is too late.
	stop func() bool
	// sent receives the result of writing the request.
	sent chan error
	// complete is set once the body has been read to its proper end.
	complete bool
	share    *bodylimit.Share
	// reusable is set if the headers allow another exchange on the connection.
	reusable bool
	// transfer is told what is received of the body; nil if nobody measures it.
	transfer *transfer.Transfer
}

// Do sends a request and returns once the response headers have arrived. The context
// applies to the entire exchange, reading the body included: its end closes the
// connection, by which upstreams cancel the request. Errors are a *NotSentError or a
// *NoResponseError.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.take(r, time.Now())
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
	if err := r.admitted(); err != nil {
		p.putBack(c)
		return nil, &NotSentError{Cause: err}
	}
	reused := c.used
	c.used = true
	c.remember(r.Match)
	stop := context.AfterFunc(ctx, c.close)
	resp := &Response{pool: p, conn: c, stop: stop, share: p.options.Bodies.Share(), sent: make(chan error, 1), transfer: transfer.Of(ctx)}
	if err := resp.exchange(r, reused); err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			err = errors.Join(err, ctx.Err())
		}
		return nil, &NoResponseError{Cause: err, ReusedConn: reused}
	}
	return resp, nil
}

// exchange sends the request and reads the response headers. Only on a reused connection
// can a response to an earlier request come first.
func (resp *Response) exchange(r *Request, reused bool) error {
	sentAt := time.Now()
	if len(r.Body) < writeBuffer {
		resp.sent <- r.write(resp.conn.writer)
	} else {
		// An upstream may respond before it has read a long body, and continue reading
		// later. Writing and reading run concurrently, to avoid a deadlock.
		go func() { resp.sent <- r.write(resp.conn.writer) }()
	}
	for range maxStaleResponses + 1 {
		response, err := resp.readHead(r.Method)
		if err != nil {
			return err
		}
		if r.Match.accepts(response.Header) {
			resp.pool.observe(response, sentAt)
			resp.setResponse(response, r)
			return nil
		}
		resp.pool.observe(response, time.Time{})
		resp.pool.options.OnMismatch(r.Match.mismatch(response, reused))
		if !reused {
			return ErrMismatchedResponse
		}
		if err := discardStale(response); err != nil {
			return err
		}
	}
	return ErrMismatchedResponse
}

// readHead reads the headers of the next response, skipping informational (1xx) ones.
func (resp *Response) readHead(method string) (*http.Response, error) {
	resp.conn.input.limit(maxHeadBytes)
	defer resp.conn.input.unlimit()
	for range maxInterim + 1 {
		response, err := http.ReadResponse(resp.conn.reader, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case len(response.Header) > maxHeaders:
			return nil, errTooManyHeaders
		}
		if err := responsestatus.Check(response.StatusCode); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errTooManyInterim
}

func (p *Pool) observe(response *http.Response, sentAt time.Time) {
	if p.options.OnResponse != nil {
		p.options.OnResponse(ObservedResponse{Status: response.StatusCode, Header: response.Header, SentAt: sentAt})
	}
}

// discardStale reads and drops a late response to an earlier request.
func discardStale(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return ErrMismatchedResponse // its body ends only with the connection
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
	if err == nil && n == maxStaleBytes {
		return ErrMismatchedResponse
	}
	return err
}

func (resp *Response) setResponse(response *http.Response, r *Request) {
	resp.Status = response.StatusCode
	resp.Header = response.Header
	resp.Length = response.ContentLength
	resp.response, resp.body = response, response.Body
	resp.Framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	resp.reusable = resp.Framed && !response.Close && resp.pool.mayKeep(r)
	limit, ok := parseKeepAlive(response.Header.Get("Keep-Alive"))
	if ok {
		resp.conn.maxIdle = limit
	}
}

// Read reads the body. io.EOF means that it is complete by its framing, or by the end of a connection on which the
// upstream has taken the whole request; a truncated body gives another error.
func (resp *Response) Read(b []byte) (int, error) {
	n, err := resp.body.Read(b)
	resp.transfer.Received(n)
	if err != io.EOF {
		return n, err
	}
	if err := resp.checkEnd(); err != nil {
		return n, err
	}
	resp.complete = true
	return n, io.EOF
}

// checkEnd returns an error if the end of the connection doesn't show that a body without framing is complete. A reset tells
// only one of reader and writer: after a failed write, the reader finds an orderly end.
func (resp *Response) checkEnd() error {
	if resp.Framed {
		return nil
	}
	err := <-resp.sent // the end of the context closes the connection, which ends the writing
	resp.sent <- err
	if err != nil {
		return fmt.Errorf("%w: the connection ended before the request was written: %w", io.ErrUnexpectedEOF, err)
	}
	return nil
}

// Trailer returns the headers that followed the body. They are known once it has been read to its end.
func (resp *Response) Trailer() http.Header { return resp.response.Trailer }

// Close ends the exchange. The connection is reused only if the response was read
// completely, the request was sent completely, and no further bytes have arrived.
func (resp *Response) Close() {
	resp.share.Release()
	usable := resp.stop() && resp.reusable && resp.complete && resp.requestSent()
	if !usable || resp.conn.worn() || resp.conn.reader.Buffered() > 0 {
		resp.conn.close()
		return
	}
	resp.pool.put(resp.conn, time.Now())
}

// requestSent reports whether the request was sent completely. If the upstream responded
// before it had read a long body, it would take the next request's first bytes for the
// rest of that body.
func (resp *Response) requestSent() bool {
	select {
	case err := <-resp.sent:
		return err == nil
	default:
		return false
	}
}
