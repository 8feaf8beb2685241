package soak

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that sends back what it gets.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// sends reports whether a byte comes back within a time that is short for the
// modes that hold it.
func sends(t *testing.T, c net.Conn) bool {
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	return comes(t, c, 100*time.Millisecond)
}

func comes(t *testing.T, c net.Conn, within time.Duration) bool {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

// A link that falls silent loses nothing that its ends send: TCP sends it again.
// If the proxy dropped bytes instead, every answer after a silence would be torn
// and the daemons blamed for it.
func TestProxyHoldsWhatItSilences(t *testing.T) {
	const patience = 10 * time.Second
	for _, mode := range []Mode{ModeStall, ModeStallReplies} {
		p, err := NewProxy("127.0.0.1", echo(t))
		require.NoError(t, err)
		defer p.Close()
		c := dial(t, p)
		_, err = c.Write([]byte("x"))
		require.NoError(t, err)
		require.True(t, comes(t, c, patience))
		p.SetMode(mode)
		require.False(t, sends(t, c), "mode %d", mode)
		p.SetMode(ModePass)
		require.True(t, comes(t, c, patience), "mode %d", mode)
	}
}

// requireReset opens a connection and wants it to be reset at once. The reset may
// come before the dial has returned, which then tells it.
func requireReset(t *testing.T, p *Proxy) {
	c, err := net.Dial("tcp", p.Address())
	if err == nil {
		defer func() { _ = c.Close() }()
		_, err = c.Read(make([]byte, 1))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestProxyResets(t *testing.T) {
	p, err := NewProxy("127.0.0.1", echo(t))
	require.NoError(t, err)
	defer p.Close()
	c := dial(t, p)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.True(t, comes(t, c, 10*time.Second))
	p.SetMode(ModeReset)
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	requireReset(t, p)
	p.SetMode(ModePass)
	c = dial(t, p)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.True(t, comes(t, c, 10*time.Second))
}
