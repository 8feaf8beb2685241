package graceful

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/bodylimit"
)

// newLimitedHarness returns a harness with limits, whose handler reads bodies as the request paths do.
func newLimitedHarness(t *testing.T, limits Limits, handle func(w http.ResponseWriter, in *http.Request, complete bool)) *harness {
	r := newHarness(t, plain, func(w http.ResponseWriter, in *http.Request) {
		request := FromContext(in.Context())
		request.HeadRead()
		_, err := io.ReadAll(in.Body)
		handle(w, in, request.Complete() && err == nil)
	})
	r.conns.SetLimits(limits)
	return r
}

// begin opens a connection and sends something.
func (r *harness) begin(text string) net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(r.t, err)
	return c
}

// requireServed requires that a new caller is served, if need be after some tries.
func (r *harness) requireServed() {
	r.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(r.t, func() bool {
		resp, err := client.Get(r.server.URL)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == http.StatusOK
	}, time.Minute, 50*time.Millisecond)
}

// Guards against callers that aren't served as others hold all connections, and against requests that are closed for them.
func TestConnectionsThatStandStillMakeRoom(t *testing.T) {
	for name, text := range map[string]string{
		"unused":         "",
		"in a head":      "POST / HTTP/1.1\r\nHost:",
		"in a body":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx",
		"in a long body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 80_000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const limit = 8
			release := make(chan struct{})
			r := newLimitedHarness(t, Limits{Connections: limit}, func(w http.ResponseWriter, in *http.Request, complete bool) {
				if in.URL.Path == "/long" {
					<-release
				}
				if !complete {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
			long := r.begin("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
			require.Eventually(t, func() bool { return r.conns.Active() == 1 }, time.Minute, time.Millisecond)
			for range 4 * limit {
				r.begin(text)
			}
			r.requireServed()
			close(release)
			answer := make([]byte, len("HTTP/1.1 200 OK"))
			_, err := io.ReadFull(long, answer)
			require.NoError(t, err, "its request was complete")
			require.Equal(t, "HTTP/1.1 200 OK", string(answer))
		})
	}
}

// Guards against heads that fill the memory, and against callers that get no room for theirs.
func TestHeadsShareALimit(t *testing.T) {
	const head = 8000
	r := newLimitedHarness(t, Limits{Heads: bodylimit.New(4 * head)}, func(http.ResponseWriter, *http.Request, bool) {})
	for range 16 {
		r.begin("GET / HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("x", head))
	}
	r.requireServed()
	r.conns.mu.Lock()
	heads := r.conns.limits.Heads
	r.conns.mu.Unlock()
	require.Eventually(t, func() bool {
		share := heads.Share()
		defer share.Release()
		return r.conns.evict(false) == 0 && len(r.conns.all()) <= 4 || share.Hold(4*head) == nil
	}, time.Minute, 50*time.Millisecond, "closed connections hold nothing")
}

// Guards against a request that is run although its connection has been closed for others.
func TestClosedRequestIsNotRun(t *testing.T) {
	ran := make(chan bool, 1)
	r := newLimitedHarness(t, Limits{}, func(_ http.ResponseWriter, _ *http.Request, complete bool) { ran <- complete })
	r.begin("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx")
	require.Eventually(t, func() bool { return r.conns.evict(false) == 1 }, time.Minute, 50*time.Millisecond)
	require.False(t, <-ran)
}

// Guards against a request that is closed for others although the process just hasn't read what its caller has sent.
func TestUnreadRequestIsNotClosedForOthers(t *testing.T) {
	conns := New(slog.New(slog.DiscardHandler))
	inner, err := Bind("127.0.0.1:0")
	require.NoError(t, err)
	l := conns.Listen(inner)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	require.NoError(t, err)
	c := accepted.(*conn)
	send := func(text string) {
		_, err := io.WriteString(caller, text)
		require.NoError(t, err)
		require.Eventually(t, c.hasUnread, time.Minute, time.Millisecond)
	}
	read := func() {
		_, err := c.Read(make([]byte, 100))
		require.NoError(t, err)
	}
	send("POST / HTTP/1.1\r\n")
	read()
	c.progressAt = time.Unix(1000, 0)
	send("Host: h\r\n")
	require.Zero(t, conns.evict(false))
	read()
	c.progressAt = time.Unix(1000, 0)
	conns.evictAfter = time.Time{}
	require.Equal(t, 1, conns.evict(false))
}

// Guards against a caller that sends a little all the time, so that it never counts as standing still.
func TestDrippingCallerStandsStill(t *testing.T) {
	c := &conn{}
	c.countReceived(1)
	c.received = true
	began := time.Unix(1000, 0)
	c.progressAt = began
	for range progressBytes - 1 {
		c.countReceived(1)
		require.Equal(t, began, c.progressAt)
	}
	c.countReceived(1)
	require.NotEqual(t, began, c.progressAt)
}
