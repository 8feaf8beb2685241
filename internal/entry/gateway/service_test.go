package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/admission"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// serveTCP runs a server whose handler writes raw responses, and returns its address.
func serveTCP(t *testing.T, handle func(conn net.Conn, request *http.Request)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					handle(conn, request)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func reply(conn net.Conn, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

// A service reads a request and closes the connection without a response. Guards
// against hidden retries: fasthttp's client sent one PUT five times to such a server.
// The number of attempts must be that of the rule's retry class.
func TestServerThatClosesWithoutAnswer(t *testing.T) {
	for retry, want := range map[rules.RetryClass]int64{rules.RetryUnsent: 1, rules.RetryNever: 1, rules.RetryRepeatable: 3} {
		var runs atomic.Int64
		services := map[string]upstream.Service{}
		for _, name := range []string{"s1", "s2", "s3", "s4"} {
			address := serveTCP(t, func(conn net.Conn, _ *http.Request) { runs.Add(1); _ = conn.Close() })
			services[name] = serviceclient.New(address, httpx.Options{})
		}
		r := newHarness(t, &fakeDeps{services: services, then: rules.Then{Pool: "s", Retry: retry}})
		response := r.post(t, "/bookings", "x")
		require.Equal(t, 502, response.StatusCode)
		require.Equal(t, string(outcome.MayHaveRun), response.Header.Get(outcome.Header))
		require.Equal(t, want, runs.Load(), retry)
	}
}

// A service responds after the caller's deadline. fasthttp continues a timed-out call
// in the background; its late response must never reach the next request on the same
// connection.
func TestLateResponseIsDropped(t *testing.T) {
	release := make(chan struct{})
	address := serveTCP(t, func(conn net.Conn, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if string(body) == "late" {
			<-release
		}
		reply(conn, "answer to "+string(body))
	})
	r := newHarness(t, &fakeDeps{
		services: map[string]upstream.Service{"s1": serviceclient.New(address, httpx.Options{})},
		then:     rules.Then{Pool: "s"},
	})
	late := r.post(t, "/bookings", "late", "X-Request-Timeout-Ms", "100")
	require.Equal(t, 504, late.StatusCode)
	require.Equal(t, string(outcome.MayHaveRun), late.Header.Get(outcome.Header))
	close(release)
	for i := range 20 {
		body := "next" + itoa(i)
		require.Equal(t, "answer to "+body, readBody(t, r.post(t, "/bookings", body)))
	}
}

// fiber returns strings that point into the connection's buffer, which the next
// request overwrites. Guards against a queue or a table that holds such a string, as
// the first caller's data would turn into the second one's.
func TestKeptDataSurvivesTheNextRequest(t *testing.T) {
	var kept []admission.Request
	deps := &fakeDeps{
		engines:  map[string]*fakeEngine{"e1": newEngine(2)},
		admitted: func(r admission.Request) { kept = append(kept, r) },
	}
	r := newHarness(t, deps)
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, name := range []string{"farm-one", "FARM-TWO"} {
		body := strings.Replace(plainBody, "a b c", name, 1)
		_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nOpenAI-Organization: "+name+
			"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}
	require.Equal(t, "farm-one", kept[0].Organisation)
	require.Equal(t, "FARM-TWO", kept[1].Organisation)
	require.Equal(t, "farm-one", deps.engines["e1"].seen()[0].Prompt)
}

// A call continues after its caller's deadline while the same connection already
// carries the next request. The service must get the first request's bytes, not those
// of the second.
func TestCallThatOutlivesItsRequestKeepsItsBody(t *testing.T) {
	service := &recordingService{calls: make(chan upstream.ServiceRequest, 2)}
	r := newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s1": service}, then: rules.Then{Pool: "s"}})
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, name := range []string{"first-farm", "SECOND-ONE"} {
		_, err = io.WriteString(conn, "POST /"+name+" HTTP/1.1\r\nHost: x\r\nX-Name: "+name+"\r\nContent-Length: 10\r\n\r\n"+name)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}
	first := <-service.calls
	require.Equal(t, "first-farm", string(first.Body))
	require.Equal(t, "/first-farm", first.Path)
	require.Contains(t, first.Headers, upstream.Header{Name: "X-Name", Value: "first-farm"})
}

// recordingService records the requests that it gets.
type recordingService struct{ calls chan upstream.ServiceRequest }

func (s *recordingService) Call(_ context.Context, r upstream.ServiceRequest) (upstream.ServiceResponse, error) {
	s.calls <- r
	return upstream.ServiceResponse{Status: 201, Headers: []upstream.Header{{Name: "X-Slip", Value: "7"}}, Body: []byte("done")}, nil
}

// A protected call without a key can't be distinguished from its resend, so it must be
// refused before anything is sent. With a key it goes through the claims.
func TestProtectedCallNeedsKey(t *testing.T) {
	service := &recordingService{calls: make(chan upstream.ServiceRequest, 8)}
	claims := &recordingClaims{}
	r := newHarness(t, &fakeDeps{
		services:  map[string]upstream.Service{"s1": service},
		then:      rules.Then{Pool: "s", Protected: true, Retry: rules.RetryRepeatable},
		protected: claims,
	})
	refused := r.post(t, "/bookings", "x")
	require.Equal(t, 400, refused.StatusCode)
	require.Equal(t, string(outcome.NotRun), refused.Header.Get(outcome.Header))
	require.Empty(t, service.calls)

	done := r.post(t, "/bookings?field=3", "x", "Idempotency-Key", "k1", "OpenAI-Organization", "farm")
	require.Equal(t, 201, done.StatusCode)
	require.Equal(t, "7", done.Header.Get("X-Slip"))
	require.Equal(t, "done", readBody(t, done))
	sent := <-service.calls
	require.Equal(t, "/bookings?field=3", sent.Path)
	require.NotEmpty(t, sent.AttemptID)
	again := r.post(t, "/bookings?field=4", "x", "Idempotency-Key", "k1", "OpenAI-Organization", "farm")
	require.Equal(t, 201, again.StatusCode)
	require.Equal(t, "k1", claims.calls[0].Key)
	require.Equal(t, "farm", claims.calls[0].Organisation)
	require.NotEqual(t, claims.calls[0].Digest, claims.calls[1].Digest, "another call under the same key")
}

type recordingClaims struct{ calls []gateway.ProtectedCall }

func (c *recordingClaims) Do(ctx context.Context, p gateway.ProtectedCall, run gateway.CallFunc) (upstream.ServiceResponse, *outcome.Failure) {
	c.calls = append(c.calls, p)
	return run(ctx)
}

// A refused request must be answered at once with a Retry-After, although its deadline
// is an hour away, so that the caller can go elsewhere.
func TestRefusalComesAtOnce(t *testing.T) {
	r := newHarness(t, &fakeDeps{
		engines: map[string]*fakeEngine{"e1": newEngine(2)},
		refuse:  &admission.Refusal{Reason: admission.ReasonQueueFull, RetryAfter: 1500 * time.Millisecond},
		then:    rules.Then{DeadlineMillis: int(time.Hour / time.Millisecond)},
	})
	response := r.post(t, path, plainBody)
	require.Equal(t, 503, response.StatusCode)
	require.Equal(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
	require.Equal(t, "2", response.Header.Get("Retry-After"))
	require.Empty(t, r.engines["e1"].seen())
}

// Requests with too large a body or header, senders that stop midway, and half-closed
// connections must get the right status and leave no request active.
func TestRequestsThatCannotBeServed(t *testing.T) {
	engine := newEngine(20)
	engine.stallAt = 0
	r := newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e1": engine}}, func(o *gateway.Options) {
		o.ReadTimeout = 300 * time.Millisecond
	})
	for name, tc := range map[string]struct {
		sent      string
		halfClose bool
		status    int
	}{
		"large body":   {"POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\nx", false, 413},
		"large header": {"GET / HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 1<<16) + "\r\n\r\n", false, 431},
		"slow sender":  {"POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx", false, 408},
		"no HTTP":      {"\x16\x03\x01\x02\x00\r\n\r\n", false, 400},
		"half closed":  {request(plainBody), true, 499},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", r.address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, tc.sent)
			if tc.halfClose {
				require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, tc.status, response.StatusCode)
			require.NotEmpty(t, response.Header.Get(outcome.Header))
			require.Zero(t, r.gateway.Active())
		})
	}
}
