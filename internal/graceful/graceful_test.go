package graceful

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// harness is a server whose connections are tracked.
type harness struct {
	t       *testing.T
	conns   *Connections
	server  *httptest.Server
	handled atomic.Int32
}

func newHarness(t *testing.T, wrap func(net.Listener) net.Listener, handle http.HandlerFunc) *harness {
	return newDelayedHarness(t, wrap, handle, nil)
}

// newDelayedHarness returns a harness whose server goroutines block after each response until
// idle can be received from, as on a machine without a free processor.
func newDelayedHarness(t *testing.T, wrap func(net.Listener) net.Listener, handle http.HandlerFunc, idle chan struct{}) *harness {
	r := &harness{t: t, conns: New(slog.New(slog.DiscardHandler))}
	r.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.handled.Add(1)
		handle(w, q)
	}))
	r.server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		r.conns.ConnState(c, s)
		if s == http.StateIdle && idle != nil {
			<-idle
		}
	}
	r.server.Config.ConnContext = ConnContext
	require.NoError(t, r.server.Listener.Close())
	l, err := Bind("127.0.0.1:0")
	require.NoError(t, err)
	r.server.Listener = r.conns.Listen(wrap(l))
	r.server.Start()
	t.Cleanup(r.server.Close)
	return r
}

func plain(l net.Listener) net.Listener { return l }

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// caller is a connection with a reader for responses.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func (r *harness) dial() *caller {
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	require.NoError(r.t, c.SetDeadline(time.Now().Add(time.Minute)))
	return &caller{Conn: c, in: bufio.NewReader(c)}
}

func (r *harness) send(c *caller, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(r.t, err)
}

func (r *harness) receive(c *caller) *http.Response {
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(r.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	require.Equal(r.t, "whole", string(body))
	return resp
}

// waitReceived waits until the server's socket has received what was sent.
func (r *harness) waitReceived(c *caller) {
	require.Eventually(r.t, func() bool {
		for _, tracked := range r.conns.all() {
			if tracked.RemoteAddr().String() == c.LocalAddr().String() {
				return tracked.active()
			}
		}
		return false
	}, time.Minute, time.Millisecond)
}

// Guards against an unread request on an idle connection that is reset when the server stops.
func TestUnreadRequestOnIdleConnectionIsAnswered(t *testing.T) {
	idle := make(chan struct{})
	r := newDelayedHarness(t, plain, answer, idle)
	c := r.dial()
	r.send(c, request)
	r.receive(c)
	r.send(c, request)
	r.waitReceived(c)

	require.Equal(t, 1, r.conns.CloseIdle())
	close(idle)
	r.receive(c)
	require.Eventually(t, func() bool { return r.conns.CloseIdle() == 0 }, time.Minute, time.Millisecond)
	_, err := c.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a new connection that is closed before its first request can arrive.
func TestNewConnectionMaySendItsFirstRequest(t *testing.T) {
	r := newHarness(t, plain, answer)
	c := r.dial()
	require.Eventually(t, func() bool { return len(r.conns.all()) == 1 }, time.Minute, time.Millisecond)
	for _, tracked := range r.conns.all() {
		tracked.accepted = time.Now().Add(time.Minute) // as if just accepted
	}
	require.Equal(t, 1, r.conns.CloseIdle())
	r.send(c, request)
	r.receive(c)
	require.Eventually(t, func() bool { return r.conns.CloseIdle() == 0 }, time.Minute, time.Millisecond)
}

// delayedListener delays its first accept, as on a machine without a free processor.
type delayedListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l *delayedListener) Accept() (net.Conn, error) {
	time.Sleep(l.delay)
	l.delay = 0
	return l.Listener.Accept()
}

// Guards against a request on a connection that isn't accepted yet and is reset when the
// server stops.
func TestUnacceptedRequestIsAnswered(t *testing.T) {
	closed := make(chan struct{})
	delayed := func(l net.Listener) net.Listener { return &delayedListener{Listener: l, delay: acceptTimeout / 2} }
	r := newHarness(t, delayed, func(w http.ResponseWriter, q *http.Request) {
		<-closed
		answer(w, q)
	})
	c := r.dial()
	r.send(c, request)
	require.Zero(t, r.conns.Active(), "the connection isn't accepted yet")

	require.Equal(t, 1, r.conns.CloseIdle())
	close(closed)
	r.receive(c)
}

// Guards against a stop that aborts a request whose header has arrived only in part.
func TestPartialRequestIsAnswered(t *testing.T) {
	r := newHarness(t, plain, answer)
	c := r.dial()
	r.send(c, request)
	r.receive(c)
	half := len(request) / 2
	r.send(c, request[:half])
	require.Eventually(t, func() bool { return r.conns.Active() == 1 }, time.Minute, time.Millisecond)

	require.Equal(t, 1, r.conns.CloseIdle())
	r.send(c, request[half:])
	r.receive(c)
}

// Guards against a request that runs although its connection was already closed.
func TestRequestAfterCloseIsNeitherRunNorReset(t *testing.T) {
	r := newHarness(t, plain, answer)
	c := r.dial()
	r.send(c, request)
	r.receive(c)
	require.Eventually(t, func() bool { return r.conns.CloseIdle() == 0 }, time.Minute, time.Millisecond)

	r.send(c, request)
	_, err := c.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	r.send(c, request)
	time.Sleep(lingerTimeout / 10)
	_, err = c.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, r.handled.Load())
}

// Guards against a response that is lost because its caller still sends when the server closes
// the connection.
func TestResponseSurvivesUnreadData(t *testing.T) {
	sent := make(chan struct{})
	big := make([]byte, 4<<20)
	r := newHarness(t, plain, func(w http.ResponseWriter, _ *http.Request) {
		<-sent
		w.Header().Set("Connection", "close")
		_, _ = w.Write(big)
	})
	c := r.dial()
	r.send(c, request)
	r.send(c, request)
	r.waitReceived(c)
	close(sent)
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	time.Sleep(lingerTimeout / 10)
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.EqualValues(t, len(big), n)
	require.EqualValues(t, 1, r.handled.Load())
}

// Guards against a stop that never ends because a caller neither sends nor closes.
func TestSilentCallersDelayShutdownBriefly(t *testing.T) {
	r := newHarness(t, plain, answer)
	silent, idle := r.dial(), r.dial()
	r.send(idle, request)
	r.receive(idle)
	require.Eventually(t, func() bool { return r.conns.CloseIdle() == 0 }, time.Minute, time.Millisecond)
	r.conns.Wait()
	require.Eventually(t, func() bool { return len(r.conns.all()) == 0 }, time.Minute, time.Millisecond)
	for _, c := range []*caller{silent, idle} {
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against a caller that keeps its connection open beyond lingerTimeout by sending
// continuously.
func TestEndlessSenderIsDisconnected(t *testing.T) {
	r := newHarness(t, plain, answer)
	c := r.dial()
	r.send(c, request)
	r.receive(c)
	require.Eventually(t, func() bool { return r.conns.CloseIdle() == 0 }, time.Minute, time.Millisecond)
	chunk := make([]byte, 64<<10)
	for {
		if _, err := c.Write(chunk); err != nil {
			break
		}
	}
	require.Eventually(t, func() bool { return len(r.conns.all()) == 0 }, time.Minute, time.Millisecond)
	require.EqualValues(t, 1, r.handled.Load())
}

// Guards against a server that treats the end of its listener as a failure and restarts it.
func TestServerOutlivesItsListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := New(slog.New(slog.DiscardHandler))
	server := &http.Server{Handler: http.HandlerFunc(answer), ConnState: conns.ConnState}
	served := make(chan error, 1)
	go func() { served <- server.Serve(conns.Listen(l)) }()
	require.Eventually(t, func() bool { return conns.listening() == 1 }, time.Minute, time.Millisecond)
	conns.CloseIdle()
	_, err = net.Dial("tcp", l.Addr().String())
	require.Error(t, err)
	select {
	case err := <-served:
		require.Fail(t, "the server has stopped", "%v", err)
	case <-time.After(10 * pollInterval):
	}
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-served, http.ErrServerClosed)
}

func (c *Connections) listening() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.listeners)
}
