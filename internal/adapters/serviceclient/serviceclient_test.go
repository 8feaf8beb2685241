package serviceclient_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/standin/oracle"
	"tamarackchute/internal/standin/standintest"
	"tamarackchute/upstream"
)

func booking(attempt, key, body string) upstream.ServiceRequest {
	return upstream.ServiceRequest{
		AttemptID: attempt,
		Method:    "POST",
		Path:      "/bookings?field=7",
		Headers:   []upstream.Header{{Name: "Idempotency-Key", Value: key}, {Name: "Connection", Value: "close"}},
		Body:      []byte(body),
	}
}

func decode(t *testing.T, r upstream.ServiceResponse) standin.ServiceResponse {
	t.Helper()
	var a standin.ServiceResponse
	require.NoError(t, json.Unmarshal(r.Body, &a))
	return a
}

// Guards against a request that runs twice: the service closes the connection without a
// response, and the HTTP client resends the request (fasthttp sent one PUT five times;
// net/http resends requests with an Idempotency-Key).
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "POST", "DELETE"} {
		for _, reused := range []bool{false, true} {
			name := method + " on a new connection"
			if reused {
				name = method + " on a reused connection"
			}
			t.Run(name, func(t *testing.T) {
				addr, received := closingServer(t, reused)
				c := serviceclient.New(addr, httpx.Options{})
				r := booking("a", "k", "")
				r.Method = method
				if reused {
					_, err := c.Call(t.Context(), r)
					require.NoError(t, err)
				}
				_, err := c.Call(t.Context(), r)
				require.ErrorIs(t, err, upstream.ErrBroken)
				assert.EqualValues(t, 1, received.Load())
			})
		}
	}
}

// closingServer closes each connection on a request without a response, after it has
// answered one if reused is set. It returns the number of unanswered requests.
func closingServer(t *testing.T, reused bool) (string, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var received atomic.Int64
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		if reused {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			// Without the exchange's ID the client wouldn't reuse the connection.
			id := req.Header.Get(httpx.HeaderExchange)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 204 No Content\r\n%s: %s\r\n\r\n", httpx.HeaderExchange, id)
		}
		if _, err := http.ReadRequest(r); err == nil {
			received.Add(1)
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String(), &received
}

func TestContract(t *testing.T) {
	cases := []struct {
		name   string
		faults string
		// want is the expected error, nil if a response with status is expected.
		want   error
		status int
		ran    int64
	}{
		{"answers", `{}`, nil, 200, 1},
		{"fails after running", `{"fail":{"next":1}}`, nil, 500, 1},
		{"refuses", `{"refuse":{"next":1}}`, upstream.ErrRefused, 0, 0},
		{"closes before running", `{"close_before":{"next":1}}`, upstream.ErrBroken, 0, 0},
		{"closes after running", `{"close_after":{"next":1}}`, upstream.ErrBroken, 0, 1},
		{"crashes before running", `{"crash_before":{"next":1}}`, upstream.ErrBroken, 0, 0},
		{"crashes after running", `{"crash_after":{"next":1}}`, upstream.ErrBroken, 0, 1},
		{"crashes on a poisonous body", `{"poison":"seven"}`, upstream.ErrBroken, 0, 0},
		{"is down", `{"crash":{"down_ms":-1}}`, upstream.ErrNotSent, 0, 0},
		{"outage", `{"outage":"error"}`, nil, 503, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := standintest.Service(t, standin.ServiceConfig{})
			standintest.SetFaults(t, s, tc.faults)
			c := serviceclient.New(s.Addr(), httpx.Options{Sender: "entry-1"})
			r := booking("a1", "k1", "field seven")
			got, err := c.Call(t.Context(), r)
			if tc.want != nil {
				require.ErrorIs(t, err, tc.want)
			} else {
				require.NoError(t, err)
				assert.Equal(t, tc.status, got.Status)
			}
			if tc.status == 200 {
				a := decode(t, got)
				assert.Equal(t, oracle.RequestDigest(r.Method, r.Path, r.Body), a.RequestDigest)
				assert.Equal(t, 1, a.Run)
			}
			assert.Equal(t, tc.ran, s.Counters().Ran)
		})
	}
}

// Guards against a caller that gets another caller's response: a call times out, and its
// late response is read as the response to the next call on the same connection.
func TestLateAndStrayResponsesAreDropped(t *testing.T) {
	cases := map[string]struct {
		faults  string
		timeout time.Duration
	}{
		"late":  {`{"hang":{"next":1},"hang_ms":60}`, 20 * time.Millisecond},
		"stray": {`{"stray":{"next":1}}`, 5 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := standintest.Service(t, standin.ServiceConfig{})
			standintest.SetFaults(t, s, tc.faults)
			c := serviceclient.New(s.Addr(), httpx.Options{})
			ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
			defer cancel()
			_, err := c.Call(ctx, booking("a0", "k0", "first"))
			if name == "late" {
				require.ErrorIs(t, err, upstream.ErrBroken)
				require.ErrorIs(t, err, context.DeadlineExceeded)
			}
			for i := range 20 {
				r := booking("a", "k", "later "+string(rune('a'+i)))
				got, err := c.Call(t.Context(), r)
				require.NoError(t, err)
				assert.Equal(t, oracle.RequestDigest(r.Method, r.Path, r.Body), decode(t, got).RequestDigest)
			}
		})
	}
}

// The ledger must count runs across services; otherwise a call that ran once on each of
// two would look correct.
func TestLedgerCountsRunsAcrossServices(t *testing.T) {
	ledger := standin.NewRunCounter()
	for i := range 2 {
		s := standintest.Service(t, standin.ServiceConfig{RunCounter: ledger})
		got, err := serviceclient.New(s.Addr(), httpx.Options{}).Call(t.Context(), booking("a", "same", "x"))
		require.NoError(t, err)
		assert.Equal(t, i+1, decode(t, got).Run)
		assert.EqualValues(t, i, s.Counters().RanTwice)
	}
}

func TestMessageIsForwardedUnchanged(t *testing.T) {
	var got *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Add("Set-Cookie", "a=1")
		w.Header().Add("Set-Cookie", "b=2")
		w.Header().Set("Content-Type", "text/x-slip")
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write([]byte{0, 1, 2})
	}))
	t.Cleanup(server.Close)
	resp, err := serviceclient.New(server.Listener.Addr().String(), httpx.Options{}).Call(t.Context(), upstream.ServiceRequest{
		AttemptID: "a1", Method: "PATCH", Path: "/a%2Fb//c/../d?x=%20&y", Body: []byte("\x00raw\r\n"),
		Headers: []upstream.Header{
			{Name: "X-Two", Value: "1"}, {Name: "X-Two", Value: "2"}, {Name: "User-Agent", Value: "farm"},
			{Name: "Cookie", Value: "k=v"}, {Name: "Upgrade", Value: "h2c"}, {Name: "Content-Length", Value: "999"},
		},
	})
	require.NoError(t, err)
	assert.Equal(t, "PATCH /a%2Fb//c/../d?x=%20&y", got.Method+" "+got.RequestURI)
	assert.Equal(t, "\x00raw\r\n", string(body))
	assert.Equal(t, []string{"1", "2"}, got.Header["X-Two"])
	assert.Equal(t, "farm", got.UserAgent())
	assert.Equal(t, "k=v", got.Header.Get("Cookie"))
	assert.Empty(t, got.Header.Get("Upgrade"))
	assert.Equal(t, http.StatusAccepted, resp.Status)
	assert.Equal(t, []byte{0, 1, 2}, resp.Body)
	assert.Contains(t, resp.Headers, upstream.Header{Name: "Content-Type", Value: "text/x-slip"})
	assert.Contains(t, resp.Headers, upstream.Header{Name: "Set-Cookie", Value: "a=1"})
	assert.Contains(t, resp.Headers, upstream.Header{Name: "Set-Cookie", Value: "b=2"})
}

// Guards against a caller that sets the exchange's ID, or learns it: the ID tells apart the
// responses on this connection only.
func TestExchangeIDIsNotTheCallers(t *testing.T) {
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Get(httpx.HeaderExchange)
		w.Header().Set(httpx.HeaderExchange, got)
	}))
	t.Cleanup(server.Close)
	r := booking("a", "k", "")
	r.Headers = append(r.Headers, upstream.Header{Name: httpx.HeaderExchange, Value: "callers"})
	resp, err := serviceclient.New(server.Listener.Addr().String(), httpx.Options{}).Call(t.Context(), r)
	require.NoError(t, err)
	assert.NotEmpty(t, got)
	assert.NotEqual(t, "callers", got)
	for _, h := range resp.Headers {
		assert.NotEqual(t, httpx.HeaderExchange, h.Name)
	}
}
