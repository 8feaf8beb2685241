package graceful

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// hookedListener lets a test act between the events of a stop.
type hookedListener struct {
	*net.TCPListener
	// accepted is called with each connection before the server gets it.
	accepted func(net.Conn)
	// closing is called once, before the listener is closed.
	closing func()
	once    sync.Once
}

// Accept implements net.Listener.
func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil && l.accepted != nil {
		l.accepted(c)
	}
	return c, err
}

// Close implements net.Listener.
func (l *hookedListener) Close() error {
	l.once.Do(func() {
		if l.closing != nil {
			l.closing()
		}
	})
	return l.TCPListener.Close()
}

// dialTimeout is how long tryDial waits for a connection.
const dialTimeout = 200 * time.Millisecond

// tryDial returns nil unless the connection is opened.
func (r *harness) tryDial() *caller {
	nc, err := net.DialTimeout("tcp", r.server.Listener.Addr().String(), dialTimeout)
	if err != nil {
		return nil
	}
	r.t.Cleanup(func() { _ = nc.Close() })
	require.NoError(r.t, nc.SetDeadline(time.Now().Add(time.Minute)))
	return &caller{Conn: nc, in: bufio.NewReader(nc)}
}

// Guards against a stop that ends a new connection whose first request arrives later than
// usual, for example because its caller got no processor between connect and write.
func TestLateFirstRequestIsAnswered(t *testing.T) {
	for _, age := range []time.Duration{160 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(age.String(), func(t *testing.T) {
			r := newHarness(t, plain, answer)
			c := r.dial()
			require.Eventually(t, func() bool { return len(r.conns.all()) == 1 }, time.Minute, time.Millisecond)
			time.Sleep(age)
			r.conns.CloseIdle()
			r.send(c, request)
			r.receive(c)
		})
	}
}

// Guards against a connection that is closed soon after the listeners, while its caller has no
// processor between connect and write.
func TestFirstRequestMayComeAfterListenersClose(t *testing.T) {
	r := newHarness(t, plain, answer)
	c := r.dial()
	r.conns.StopAccepting()
	for start := time.Now(); time.Since(start) < firstRequestTimeout/2; time.Sleep(10 * time.Millisecond) {
		require.Equal(t, 1, r.conns.CloseIdle())
	}
	r.send(c, request)
	r.receive(c)
}

// Guards against a connection that is reset because the last packet of its handshake arrives late,
// for example from another data centre.
func TestSlowHandshakeIsAnswered(t *testing.T) {
	r := newHarness(t, plain, answer)
	// Without immediate ACKs, the kernel sends the last packet of the handshake with the first data.
	withhold := func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_QUICKACK, 0) })
		return errors.Join(controlErr, err)
	}
	nc, err := (&net.Dialer{Control: withhold}).Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	c := &caller{Conn: nc, in: bufio.NewReader(nc)}
	go r.conns.StopAccepting()
	time.Sleep(handshakeTime / 3)
	r.send(c, request)
	r.receive(c)
}

// Guards against queued connections that are reset because no descriptor is free for a moment.
func TestQueueIsAcceptedOnceDescriptorsAreFree(t *testing.T) {
	resume := make(chan struct{})
	gated := func(inner net.Listener) net.Listener {
		return &gatedListener{TCPListener: inner.(*net.TCPListener), before: func() { <-resume }}
	}
	r := newHarness(t, gated, answer)
	c := r.dial()
	r.send(c, request)
	var limit unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	low := limit
	low.Cur = 3
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &low))
	time.AfterFunc(acceptTimeout+acceptTimeout/4, func() { _ = unix.Setrlimit(unix.RLIMIT_NOFILE, &limit) })
	r.conns.StopAccepting()
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit))
	close(resume)
	r.receive(c)
}

// gatedConn sends only the first half of each write while it is gated.
type gatedConn struct {
	net.Conn
	gated   bool
	pending []byte
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if !c.gated {
		return c.Conn.Write(p)
	}
	half := len(p) / 2
	c.pending = append(c.pending, p[half:]...)
	_, err := c.Conn.Write(p[:half])
	return len(p), err
}

// Guards against a stop that ends a used TLS connection of whose next request a part has arrived.
func TestPartialTLSRequestIsAnswered(t *testing.T) {
	conns := NewTLS(slog.New(slog.DiscardHandler))
	server := httptest.NewUnstartedServer(http.HandlerFunc(answer))
	server.Config.ConnState = conns.ConnState
	require.NoError(t, server.Listener.Close())
	l, err := Bind("127.0.0.1:0")
	require.NoError(t, err)
	server.Listener = conns.Listen(l)
	server.StartTLS()
	t.Cleanup(server.Close)
	plainConn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = plainConn.Close() })
	gate := &gatedConn{Conn: plainConn}
	secure := tls.Client(gate, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}})
	r := &harness{t: t, conns: conns, server: server}
	c := &caller{Conn: secure, in: bufio.NewReader(secure)}
	r.send(c, request)
	r.receive(c)
	require.Eventually(t, func() bool { return conns.Active() == 0 }, time.Minute, time.Millisecond)
	gate.gated = true
	r.send(c, request)
	require.Eventually(t, func() bool { return conns.Active() == 1 }, time.Minute, time.Millisecond)

	require.Equal(t, 1, conns.CloseIdle())
	_, err = plainConn.Write(gate.pending)
	require.NoError(t, err)
	r.receive(c)
}

// Guards against a stop that lasts as long as a request which never ends, at an address where
// requests are short.
func TestLimitedWaitIgnoresEndlessRequests(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, plain, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	r.conns.LimitWait(firstRequestTimeout)
	c := r.dial()
	r.send(c, request)
	require.Eventually(t, func() bool { return r.handled.Load() == 1 }, time.Minute, time.Millisecond)
	require.Zero(t, r.conns.Active(), "it delays nothing before the stop")
	r.conns.StopAccepting()
	require.Equal(t, 1, r.conns.Active())
	require.Eventually(t, func() bool { return r.conns.CloseIdle() == 0 }, time.Minute, time.Millisecond)
}

// gatedListener calls before ahead of each accept.
type gatedListener struct {
	*net.TCPListener
	before func()
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	l.before()
	return l.TCPListener.Accept()
}

// Guards against a stop that doesn't count a connection that the server is just accepting when
// the listener closes, and that is therefore cut off by the exit.
func TestConnectionBeingAcceptedIsCounted(t *testing.T) {
	resume, holding := make(chan struct{}), make(chan struct{})
	var c *caller
	var r *harness
	var dialling sync.Mutex
	l := &hookedListener{}
	l.accepted = func(nc net.Conn) {
		dialling.Lock()
		defer dialling.Unlock()
		if c != nil && nc.RemoteAddr().String() == c.LocalAddr().String() {
			close(holding)
			<-resume
		}
	}
	l.closing = func() {
		dialling.Lock()
		c = r.tryDial()
		dialling.Unlock()
		if c != nil {
			r.send(c, request)
			<-holding
		}
	}
	r = newHarness(t, func(inner net.Listener) net.Listener { l.TCPListener = inner.(*net.TCPListener); return l }, answer)
	active := r.conns.CloseIdle()
	close(resume)
	if c == nil {
		return
	}
	require.Equal(t, 1, active, "the stop would go on to the exit")
	r.receive(c)
}

// Guards against connections that are reset because the server accepts them later than the
// stop waits, although the grace period isn't over.
func TestBacklogIsDrainedBeforeListenerCloses(t *testing.T) {
	resume := make(chan struct{})
	gated := func(inner net.Listener) net.Listener {
		return &gatedListener{TCPListener: inner.(*net.TCPListener), before: func() { <-resume }}
	}
	r := newHarness(t, gated, answer)
	c := r.dial()
	r.send(c, request)
	r.conns.CloseIdle()
	close(resume)
	r.receive(c)
}

// Guards against a request that runs without an answer, or a reset, when it arrives while its
// idle connection is being closed.
func TestRequestDuringCloseIsAnsweredOrNotRun(t *testing.T) {
	const callers = 200
	r := newHarness(t, plain, answer)
	var all []*caller
	for range callers {
		c := r.dial()
		r.send(c, request)
		r.receive(c)
		all = append(all, c)
	}
	var sending sync.WaitGroup
	answered, ended := make(chan struct{}, callers), make(chan error, callers)
	start := make(chan struct{})
	for _, c := range all {
		sending.Go(func() {
			<-start
			if _, err := io.WriteString(c, request); err != nil {
				ended <- err
				return
			}
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil {
				ended <- err
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			answered <- struct{}{}
		})
	}
	close(start)
	require.Eventually(t, func() bool { return r.conns.CloseIdle() == 0 }, time.Minute, time.Millisecond)
	sending.Wait()
	close(ended)
	for err := range ended {
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	require.EqualValues(t, callers+len(answered), r.handled.Load())
	t.Logf("%d answered, %d ended unrun", len(answered), callers-len(answered))
}

// Guards against a process that exits long after it has closed its idle connections, as one caller
// hasn't closed its own: in between it would drop what others send.
func TestIdleConnectionsDelayNoExit(t *testing.T) {
	r := newHarness(t, plain, answer)
	c := r.dial()
	r.send(c, request)
	r.receive(c)
	for _, tracked := range r.conns.all() {
		require.Eventually(t, func() bool { return !tracked.active() }, time.Minute, time.Millisecond)
		tracked.mu.Lock()
		tracked.responded = tracked.responded.Add(-lingerTimeout) // as if the response were older
		tracked.mu.Unlock()
	}
	require.Zero(t, r.conns.CloseIdle())
	require.False(t, r.conns.mayLoseResponses())
}

// newTimeoutHarness returns a harness whose server limits the time to read a request's header.
func newTimeoutHarness(t *testing.T, limit time.Duration) *harness {
	conns := New(slog.New(slog.DiscardHandler))
	server := httptest.NewUnstartedServer(http.HandlerFunc(answer))
	server.Config.ConnState, server.Config.ReadHeaderTimeout = conns.ConnState, limit
	require.NoError(t, server.Listener.Close())
	l, err := Bind("127.0.0.1:0")
	require.NoError(t, err)
	server.Listener = conns.Listen(l)
	server.Start()
	t.Cleanup(server.Close)
	return &harness{t: t, conns: conns, server: server}
}

// Guards against a connection, opened in advance, that the server closes while its first request is
// on its way, as the time to read a header has begun with the connection.
func TestUnusedConnectionIsKeptOpen(t *testing.T) {
	const limit = 50 * time.Millisecond
	r := newTimeoutHarness(t, limit)
	c := r.dial()
	time.Sleep(4 * limit)
	r.send(c, request)
	r.receive(c)
}

// Guards against a caller that occupies a connection with a header that it never completes.
func TestIncompleteHeaderIsLimited(t *testing.T) {
	r := newTimeoutHarness(t, 50*time.Millisecond)
	c := r.dial()
	r.send(c, request[:len(request)/2])
	_, err := io.ReadAll(c.in) // the harness's deadline is a minute
	require.NoError(t, err)
}
