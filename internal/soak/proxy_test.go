package soak

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that sends back what it receives.
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

// echoes reports whether a byte is echoed within 100 ms, less than the modes under test hold it.
func echoes(t *testing.T, c net.Conn) bool {
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	return receives(t, c, 100*time.Millisecond)
}

func receives(t *testing.T, c net.Conn, timeout time.Duration) bool {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(timeout)))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

// A stalled link loses no bytes, since TCP resends them. If the proxy dropped them instead,
// every response after a stall would be damaged and the daemons blamed for it.
func TestStalledProxyLosesNoBytes(t *testing.T) {
	const timeout = 10 * time.Second
	for _, mode := range []Mode{ModeStall, ModeStallReplies} {
		p, err := NewProxy("127.0.0.1", echo(t))
		require.NoError(t, err)
		defer p.Close()
		c := dial(t, p)
		_, err = c.Write([]byte("x"))
		require.NoError(t, err)
		require.True(t, receives(t, c, timeout))
		p.SetMode(mode)
		require.False(t, echoes(t, c), "mode %d", mode)
		p.SetMode(ModePass)
		require.True(t, receives(t, c, timeout), "mode %d", mode)
	}
}

// requireReset opens a connection and requires an immediate reset. The reset may arrive before
// the dial returns, which then reports it.
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
	require.True(t, receives(t, c, 10*time.Second))
	p.SetMode(ModeReset)
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	requireReset(t, p)
	p.SetMode(ModePass)
	c = dial(t, p)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.True(t, receives(t, c, 10*time.Second))
}

// Guards against cuts of one daemon's path that hit other daemons, or let anything through.
func TestProxyModeOfOneAddress(t *testing.T) {
	const cutIP, otherIP = "127.0.0.3", "127.0.0.4"
	for _, mode := range pathModes {
		p, err := NewProxy("127.0.0.1", echo(t))
		require.NoError(t, err)
		defer p.Close()
		dialFrom := func(ip string) (net.Conn, error) {
			d := net.Dialer{Timeout: 200 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
			c, err := d.Dial("tcp", p.Address())
			if err == nil {
				t.Cleanup(func() { _ = c.Close() })
			}
			return c, err
		}
		reaches := func(ip string) bool {
			c, err := dialFrom(ip)
			if err != nil {
				return false
			}
			_, _ = c.Write([]byte("x"))
			return receives(t, c, 200*time.Millisecond)
		}
		before, err := dialFrom(cutIP)
		require.NoError(t, err)
		require.True(t, echoes(t, before))
		require.True(t, reaches(otherIP))
		p.SetModeFor(cutIP, mode)
		require.False(t, reaches(cutIP), "%v", mode)
		require.True(t, reaches(otherIP), "%v", mode)
		_, _ = before.Write([]byte("x"))
		require.Equal(t, mode == ModeResetNew, receives(t, before, 200*time.Millisecond), "%v: a connection from before", mode)
		p.SetModeFor(cutIP, ModePass)
		require.True(t, reaches(cutIP), "%v", mode)
	}
}
