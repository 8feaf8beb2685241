package httpx

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/stretchr/testify/require"
)

// Guards against a daemon that is stopped during its start and never ends: its HTTP
// server is shut down before it has begun to accept, and accepts afterwards. Serve must
// return, and the address must refuse connections.
func TestServeStoppedBeforeAccepting(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	stopped := make(chan struct{})
	app.Hooks().OnShutdown(func() error { close(stopped); return nil })
	app.Hooks().OnListen(func(fiber.ListenData) error { cancel(); <-stopped; return nil })
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, app, ln, time.Second) }()
	select {
	case err := <-done:
		require.ErrorIs(t, err, context.Canceled)
	case <-time.After(10 * time.Second):
		t.Fatal("still serving after its context ended")
	}
	_, err = net.DialTimeout("tcp", ln.Addr().String(), time.Second)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// If the server fails, Serve returns its error, not the context's.
func TestServeReturnsServerError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	broken := &brokenListener{Listener: ln}
	defer func() { _ = ln.Close() }()
	require.ErrorIs(t, Serve(t.Context(), fiber.New(fiber.Config{DisableStartupMessage: true}), broken, time.Second), syscall.EINVAL)
}

// brokenListener fails to accept.
type brokenListener struct{ net.Listener }

func (*brokenListener) Accept() (net.Conn, error) { return nil, syscall.EINVAL }
