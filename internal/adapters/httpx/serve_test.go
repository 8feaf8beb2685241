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

// A daemon is told to stop while it starts and never ends: its HTTP server is shut
// down before it has begun to accept, takes no notice, and begins afterwards. A
// server whose context has ended must end, and refuse connections from then on.
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

// A server that fails by itself says so, not that it was told to stop.
func TestServeReturnsServerError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	broken := &brokenListener{Listener: ln}
	defer func() { _ = ln.Close() }()
	require.ErrorIs(t, Serve(t.Context(), fiber.New(fiber.Config{DisableStartupMessage: true}), broken, time.Second), syscall.EINVAL)
}

// brokenListener can't accept.
type brokenListener struct{ net.Listener }

func (*brokenListener) Accept() (net.Conn, error) { return nil, syscall.EINVAL }
