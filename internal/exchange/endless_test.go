package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/bodylimit"
)

const (
	// mostSent is how many bytes an endless upstream sends at most, if nobody closes its connection.
	mostSent = 32 << 20
	// headAllowance is what may be read of a head, with what the sockets buffer.
	headAllowance = 8 << 20
)

// endless serves responses that begin with some bytes and repeat others until the client closes. It returns
// how many bytes were sent.
func endless(t *testing.T, first, again string) (*Pool, *atomic.Int64) {
	var sent atomic.Int64
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, _, ok := readRequest(in); !ok {
			return
		}
		_, _ = c.Write([]byte(first))
		block := []byte(strings.Repeat(again, 1+(32<<10)/len(again)))
		for sent.Load() < mostSent {
			n, err := c.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
		_, _ = in.ReadByte() // until the client closes
	})
	return s.pool(), &sent
}

// Guards against a head without end that is read into memory until the request's deadline.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ first, again string }{
		"status line":        {"HTTP/1.1 200 ", "x"},
		"header":             {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"headers":            {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"short headers":      {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"continued header":   {"HTTP/1.1 200 OK\r\nX-A: b\r\n", " c\r\n"},
		"bytes":              {"", "x"},
		"zero bytes":         {"", "\x00"},
		"empty lines":        {"", "\r\n"},
		"interim responses":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim and header": {"HTTP/1.1 102 Processing\r\nX-A: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, sent := endless(t, c.first, c.again)
			began := time.Now()
			_, err := do(t, p, request("/a"))
			requireLost(t, err)
			require.Less(t, time.Since(began), wait, "it isn't the deadline that ends it")
			require.Less(t, sent.Load(), int64(headAllowance))
			require.Empty(t, p.idle)
		})
	}
}

// Guards against many responses, each within its limit, that fill the memory together; small ones are read
// meanwhile.
func TestBodiesShareALimit(t *testing.T) {
	const large, limit = 1 << 20, 3 << 20
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for { // a connection that closes after a response may take the next request with it
			target, _, ok := readRequest(in)
			if !ok {
				return
			}
			size := large
			if target == "/small" {
				size = bodylimit.FreeBytes
			}
			reply(c, target, strings.Repeat("x", size))
		}
	})
	p := NewPool(s.listener.Addr().String(), Options{Bodies: bodylimit.New(limit)})
	read := func(target string) (*Response, error) {
		resp, err := p.Do(t.Context(), request(target))
		require.NoError(t, err)
		_, err = resp.ReadAll(8 << 20)
		return resp, err
	}
	var held []*Response
	for i := range 10 {
		resp, err := read(fmt.Sprint("/", i))
		if err != nil {
			require.ErrorIs(t, err, bodylimit.ErrExceeded)
			resp.Close()
			break
		}
		held = append(held, resp)
	}
	require.NotEmpty(t, held)
	require.LessOrEqual(t, len(held), limit/large)
	var small sync.WaitGroup
	for range 4 {
		small.Go(func() {
			resp, err := read("/small")
			resp.Close()
			if err != nil && !errors.Is(err, bodylimit.ErrExceeded) {
				t.Error(err)
			}
			require.NoError(t, err, "small bodies need no share")
		})
	}
	small.Wait()
	for _, resp := range held {
		resp.Close()
	}
	resp, err := read("/again")
	require.NoError(t, err)
	resp.Close()
}

// Guards against a body that is known to be too large and is read up to the limit.
func TestTooLargeBodyIsGivenUpAtOnce(t *testing.T) {
	p, sent := endless(t, "HTTP/1.1 200 OK\r\nX-Id: /a\r\nContent-Length: 1000000000\r\n\r\n", "x")
	resp, err := p.Do(t.Context(), request("/a"))
	require.NoError(t, err)
	_, err = resp.ReadAll(16 << 20)
	require.ErrorIs(t, err, ErrResponseTooLarge)
	resp.Close()
	require.Less(t, sent.Load(), int64(headAllowance))
}

// Guards against a HEAD that fails for the length of the body that a GET would get.
func TestHeadOfALargeBody(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		_, _, _ = readRequest(in)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: /a\r\nContent-Length: 1000000000\r\n\r\n"))
	})
	head := request("/a")
	head.Method, head.Body = http.MethodHead, nil
	resp, err := s.pool().Do(t.Context(), head)
	require.NoError(t, err)
	defer resp.Close()
	body, err := resp.ReadAll(1 << 20)
	require.NoError(t, err)
	require.Empty(t, body)
	require.EqualValues(t, 1_000_000_000, resp.Length)
}
