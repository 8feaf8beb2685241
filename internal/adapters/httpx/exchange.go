package httpx

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// exchange is one request and its response on one connection. A connection is
// given back to the pool only by an exchange that read its whole response and
// was never aborted, so no late response can meet a later request.
type exchange struct {
	conn   net.Conn
	reader *bufio.Reader
	host   *fasthttp.HostClient
	// giveBack returns the connection to the pool, or closes it.
	release func(reuse bool)

	mu      sync.Mutex
	ended   bool
	aborted bool
}

// abort closes the connection, which ends a read or write in progress. It does
// nothing once the exchange is over: the connection may then serve another.
func (e *exchange) abort() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended || e.aborted {
		return
	}
	e.aborted = true
	_ = e.conn.Close()
}

// end finishes the exchange once. No read may be in progress.
func (e *exchange) end(reuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	clean := reuse && !e.aborted && e.reader != nil && e.reader.Buffered() == 0
	if e.reader != nil {
		e.host.ReleaseReader(e.reader)
		e.reader = nil
	}
	e.release(clean)
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

// cause prefers the context's error to the I/O error that its end brought
// about.
func contextCause(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}
