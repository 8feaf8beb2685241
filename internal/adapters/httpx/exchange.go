package httpx

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/responsestatus"
	"tamarackchute/internal/unsent"
)

// exchange is one request and its response on a connection. The response is the one with
// the exchange's ID. A response without an ID is accepted only if it is the first on its
// connection, and the connection is then closed, as a late response on it could be taken
// for that to a later request.
type exchange struct {
	client *Client
	conn   net.Conn
	// metered is conn, if what is read of the body is counted.
	metered *meteredConn
	reader  *bufio.Reader
	id      []byte
	sentAt  time.Time
	// reused means that the connection has had earlier exchanges.
	reused bool
	// identified means that the response had the exchange's ID.
	identified bool
	// release returns the connection to the pool if it can be reused, else closes it.
	release func(reuse bool)

	mu      sync.Mutex
	ended   bool
	aborted bool
}

// abort closes the connection, which makes a read or write in progress fail. It does
// nothing once the exchange has ended: the connection may be in use for another one.
func (e *exchange) abort() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended || e.aborted {
		return
	}
	e.aborted = true
	unsent.Drop(transport(e.conn))
	_ = e.conn.Close()
}

// end ends the exchange and releases the connection; further calls do nothing. With reuse
// the connection returns to the pool if the whole response was read, had the exchange's ID,
// and the exchange wasn't aborted. No read may be in progress.
func (e *exchange) end(reuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	reusable := reuse && e.identified && !e.aborted && e.reader.Buffered() == 0
	if e.reader != nil {
		e.client.host.ReleaseReader(e.reader)
		e.reader = nil
	}
	if reuse && !e.identified {
		resetOnClose(e.conn)
	}
	e.release(reusable)
}

// send writes the request.
func (e *exchange) send(req *fasthttp.Request) error {
	host := e.client.host
	w := host.AcquireWriter(e.conn)
	defer host.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads the response, or only its header if resp.StreamBody is set. Responses to
// other exchanges are dropped.
func (e *exchange) receive(resp *fasthttp.Response, maxBody int) error {
	e.reader = e.client.host.AcquireReader(e.readsFrom())
	resp.ResetBody()
	for range maxForeignResponses + 1 {
		if err := e.readHeader(&resp.Header); err != nil {
			return err
		}
		id := resp.Header.Peek(HeaderExchange)
		e.identified = bytes.Equal(id, e.id)
		switch {
		case e.identified, len(id) == 0 && !e.reused:
			e.observe(&resp.Header)
			return e.readBody(resp, maxBody)
		case len(id) == 0:
			return errUnidentified
		}
		if err := e.discard(&resp.Header, id); err != nil {
			return err
		}
	}
	return errTooManyForeign
}

// observe tells the client's gate which limits the response names.
func (e *exchange) observe(h *fasthttp.ResponseHeader) {
	gate := e.client.opts.Gate
	if gate == nil {
		return
	}
	var limits []string
	for _, value := range h.PeekAll(HeaderLimit) {
		limits = append(limits, string(value))
	}
	gate.Observe(limits, e.sentAt)
}

// readHeader reads a response's header and skips informational responses.
func (e *exchange) readHeader(h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		if err := checkStatusLine(e.reader); err != nil {
			return err
		}
		if err := h.Read(e.reader); err != nil {
			return err
		}
		if !isInterim(h.StatusCode()) {
			return nil
		}
	}
	return errTooManyInterim
}

// maxBlankBytes limits the empty lines before a response.
const maxBlankBytes = 16

// checkStatusLine returns an error if the next response has an impossible status, which the library doesn't tell: it takes 000
// for 200. What is no status line is left to the library.
func checkStatusLine(r *bufio.Reader) error {
	for range maxBlankBytes {
		next, err := r.Peek(1)
		if err != nil || next[0] != '\r' && next[0] != '\n' {
			break
		}
		_, _ = r.Discard(1) // it has been peeked at
	}
	const prefix, digits = len("HTTP/1.1 "), 3
	line, err := r.Peek(prefix + digits)
	if err != nil || !bytes.HasPrefix(line, []byte("HTTP/")) {
		return nil
	}
	status, err := strconv.Atoi(string(line[prefix:]))
	if err != nil {
		return fmt.Errorf("%w: %q", responsestatus.ErrImpossible, line[prefix:])
	}
	return responsestatus.Check(status)
}

func isInterim(status int) bool { return status >= 100 && status < 200 }

// readBody reads the body that belongs to the response's header.
func (e *exchange) readBody(resp *fasthttp.Response, maxBody int) error {
	if resp.SkipBody || !hasBody(resp.StatusCode()) {
		return nil
	}
	if err := e.metered.begin(resp.Header.ContentLength(), maxBody); err != nil {
		return err
	}
	if err := resp.ReadBody(e.reader, maxBody); err != nil {
		return err
	}
	if resp.StreamBody || resp.Header.ContentLength() != chunked {
		return nil
	}
	return resp.Header.ReadTrailer(e.reader)
}

// chunked is the content length of a header that announces a chunked body.
const chunked = -1

func hasBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// discard reads the rest of a response to another exchange.
func (e *exchange) discard(h *fasthttp.ResponseHeader, id []byte) error {
	e.client.foreign.add(h.StatusCode(), id, e.id)
	foreign := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(foreign)
	h.CopyTo(&foreign.Header)
	foreign.SkipBody = bytes.HasSuffix(id, []byte(headSuffix))
	return e.readBody(foreign, maxForeignBody)
}

// contextCause returns the context's error if the context has ended, as the I/O error
// is then only its consequence; otherwise err.
func contextCause(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}
