package graceful

import (
	"context"
	"net"
)

// Request is the request in progress on a connection. The zero value is that of a connection that isn't tracked.
type Request struct{ conn *conn }

type requestKey struct{}

// ConnContext must be set as the ConnContext hook of the server, for FromContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, requestKey{}, FromConn(c))
}

// FromContext returns the request of a handler's context.
func FromContext(ctx context.Context) Request {
	r, _ := ctx.Value(requestKey{}).(Request)
	return r
}

// FromConn returns the request in progress on a connection.
func FromConn(c net.Conn) Request {
	tracked, _ := innermost(c).(*conn)
	return Request{conn: tracked}
}

// HeadRead records that the head is complete: what is read from now on is counted by the handler.
func (r Request) HeadRead() {
	if r.conn == nil {
		return
	}
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.conn.headRead = true
}

// Complete records that the request is complete, after which its connection isn't closed for others. It returns false if
// the connection is being closed already: the request must not be run.
func (r Request) Complete() bool {
	if r.conn == nil {
		return true
	}
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.conn.complete = !r.conn.evicted
	return r.conn.complete
}

// CallerLeft reports whether the caller has ended its connection, also if the server hasn't read that yet. It doesn't look behind
// further bytes of the caller.
func (r Request) CallerLeft() bool { return r.conn != nil && r.conn.callerLeft() }

// Evicted reports whether the connection is closed to make room for others.
func (r Request) Evicted() bool {
	if r.conn == nil {
		return false
	}
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	return r.conn.evicted
}

// MakeRoom closes connections with a request that has stalled, and reports whether there were any.
func (r Request) MakeRoom() bool { return r.conn != nil && r.conn.owner.evict(false) > 0 }
