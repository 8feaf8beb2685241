package exchange

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// late returns a response to the earlier request /a, with further headers and a body that has
// no framing of its own.
func late(status, headersAndBody string) string {
	return "HTTP/1.1 " + status + "\r\nX-Id: /a\r\n" + headersAndBody
}

// Guards against a body that is read as the next response: whether a response has one depends
// on its request's method, which a late response doesn't tell.
func TestLateResponseToAnotherMethod(t *testing.T) {
	inner := "HTTP/1.1 200 OK\r\nX-Id: /b\r\nX-Late: 1\r\nContent-Length: 4\r\n\r\n"
	own := "HTTP/1.1 200 OK\r\nX-Id: /b\r\nContent-Length: %d\r\n\r\n%s"
	cases := []struct{ name, first, second, late, own string }{
		{"body before a response to HEAD", http.MethodGet, http.MethodHead, late("200 OK", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner)), "HTTP/1.1 200 OK\r\nX-Id: /b\r\nContent-Length: 4\r\n\r\n"},
		{"response to HEAD before a body", http.MethodHead, http.MethodGet, late("200 OK", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(fmt.Sprintf(own, len(inner)+4, "")))), fmt.Sprintf(own, len(inner)+4, inner+"late")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				for first := true; ; first = false {
					target, _, ok := readRequest(in)
					if !ok {
						return
					}
					if target == "/a" {
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: /a\r\nContent-Length: 0\r\n\r\n"))
						continue
					}
					if !first {
						_, _ = conn.Write([]byte(c.late))
					}
					_, _ = conn.Write([]byte(c.own))
				}
			})
			p := s.pool()
			for _, step := range []struct{ method, target string }{{c.first, "/a"}, {c.second, "/b"}} {
				r := request(step.target)
				r.Method, r.Body = step.method, nil
				resp, err := p.Do(t.Context(), r)
				require.NoError(t, err)
				require.Empty(t, resp.Header.Get("X-Late"), "a part of a body was taken for the response")
				_, err = resp.ReadAll(maxStaleBytes)
				require.NoError(t, err)
				resp.Close()
			}
		})
	}
}

// Guards against a body that is awaited, or left to the next exchange, where the method or the
// status rules it out although the response has a length.
func TestResponsesWithoutBody(t *testing.T) {
	cases := []struct{ name, method, status, body string }{
		{"HEAD", http.MethodHead, "200 OK", ""},
		{"HEAD, with a body", http.MethodHead, "200 OK", "body"},
		{"204", http.MethodGet, "204 No Content", ""},
		{"204, with a body", http.MethodGet, "204 No Content", "body"},
		{"304", http.MethodGet, "304 Not Modified", ""},
		{"304, with a body", http.MethodGet, "304 Not Modified", "body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				for {
					target, _, ok := readRequest(in)
					if !ok {
						return
					}
					if target == "/b" {
						reply(conn, target, "own")
						continue
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: /a\r\nContent-Length: 4\r\n\r\n%s", c.status, c.body)
				}
			})
			p := s.pool()
			r := request("/a")
			r.Method, r.Body = c.method, nil
			body, err := do(t, p, r)
			require.NoError(t, err)
			require.Empty(t, body)
			body, err = do(t, p, request("/b"))
			require.NoError(t, err)
			require.Equal(t, "own", body)
		})
	}
}
