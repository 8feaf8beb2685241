package entry

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/stretchr/testify/require"
)

// slowListener returns connections whose reads are delayed, as on an overloaded
// machine.
type slowListener struct{ net.Listener }

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

const readDelay = 75 * time.Millisecond

type slowConn struct{ net.Conn }

// Read implements io.Reader.
func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(readDelay)
	return c.Conn.Read(p)
}

// NetConn returns the underlying connection.
func (c slowConn) NetConn() net.Conn { return c.Conn }

// Guards against a shutdown that resets a keep-alive connection on which a request has
// arrived but hasn't been read.
func TestShutdownAnswersUnreadRequests(t *testing.T) {
	const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	app := fiber.New(fiber.Config{DisableStartupMessage: true, ReduceMemoryUsage: true})
	app.Get("/x", func(c *fiber.Ctx) error { return c.SendString("whole") })
	l := newListener("callers", "127.0.0.1:0", nil, app, slog.New(slog.DiscardHandler))
	require.NoError(t, l.bind())
	address := l.bound.Addr().String()
	l.bound = slowListener{l.bound}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- l.Serve(ctx) }()

	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	in := bufio.NewReader(c)
	send := func() {
		_, err := io.WriteString(c, request)
		require.NoError(t, err)
	}
	receive := func() {
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
	}
	send()
	receive()
	send()
	for l.conns.CloseIdle() > 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	receive()
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.ErrorIs(t, <-served, context.Canceled)
}
