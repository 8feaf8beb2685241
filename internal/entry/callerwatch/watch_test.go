package callerwatch

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller closes its connection while the engine is still working; the server reads
// the connection only between requests and doesn't notice. The watcher must detect it,
// and must not mistake a pipelined request for a close.
func TestSweepDetectsClosedConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		caller func(t *testing.T, c *net.TCPConn)
		gone   bool
	}{
		"waits":               {func(*testing.T, *net.TCPConn) {}, false},
		"pipelines":           {func(t *testing.T, c *net.TCPConn) { write(t, c) }, false},
		"closes":              {func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.Close()) }, true},
		"writes and closes":   {func(t *testing.T, c *net.TCPConn) { write(t, c); require.NoError(t, c.Close()) }, true},
		"half closes":         {func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.CloseWrite()) }, true},
		"resets":              {func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.SetLinger(0)); require.NoError(t, c.Close()) }, true},
		"closes after Remove": {func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.Close()) }, false},
		"closes, wrapped":     {func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.Close()) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			caller, served := connPair(t)
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			w := New()
			var conn net.Conn = served
			if name == "closes, wrapped" {
				conn = wrapper{served}
			}
			registration := w.Add(conn, cancel)
			w.sweep()
			require.NoError(t, ctx.Err(), "the first sweep polls nothing")
			tc.caller(t, caller)
			if name == "closes after Remove" {
				registration.Remove()
			}
			if tc.gone {
				// Loopback delivers the close with a short delay.
				for ctx.Err() == nil && t.Context().Err() == nil {
					w.sweep()
				}
				require.ErrorIs(t, context.Cause(ctx), ErrGone)
				require.Empty(t, w.active)
				return
			}
			for range 20 {
				w.sweep()
			}
			require.NoError(t, ctx.Err())
		})
	}
}

type wrapper struct{ net.Conn }

func (w wrapper) NetConn() net.Conn { return w.Conn }

func write(t *testing.T, c *net.TCPConn) {
	_, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
}

func connPair(t *testing.T) (caller, served *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	dialled, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	accepted, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a request that runs for up to two intervals although its caller had closed the connection before it was read.
func TestCheckDetectsACloseAtOnce(t *testing.T) {
	caller, served := connPair(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	w := New()
	registration := w.Add(served, cancel)
	registration.Check()
	require.NoError(t, ctx.Err())
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool {
		registration.Check()
		return ctx.Err() != nil
	}, 5*time.Second, time.Millisecond, "loopback delivers the close with a short delay")
	require.ErrorIs(t, context.Cause(ctx), ErrGone)
	require.Empty(t, w.active)
	(*Registration)(nil).Check()
}
