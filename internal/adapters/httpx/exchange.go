package httpx

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// exchange is one request and its response on a connection. The connection returns
// to the pool only if the whole response was read and the exchange wasn't aborted, so
// that a late response can't be taken for that of a later request.
type exchange struct {
	conn   net.Conn
	reader *bufio.Reader
	host   *fasthttp.HostClient
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
	_ = e.conn.Close()
}

// end ends the exchange and releases the connection; further calls do nothing. No read
// may be in progress.
func (e *exchange) end(reuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	reusable := reuse && !e.aborted && e.reader != nil && e.reader.Buffered() == 0
	if e.reader != nil {
		e.host.ReleaseReader(e.reader)
		e.reader = nil
	}
	e.release(reusable)
}

// send writes the request.
func (e *exchange) send(req *fasthttp.Request) error {
	w := e.host.AcquireWriter(e.conn)
	defer e.host.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads the response, or only its header if resp.StreamBody is set.
func (e *exchange) receive(resp *fasthttp.Response, maxBody int) error {
	e.reader = e.host.AcquireReader(e.conn)
	return resp.ReadLimitBody(e.reader, maxBody)
}

// contextCause returns the context's error if the context has ended, as the I/O error
// is then only its consequence; otherwise err.
func contextCause(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}
