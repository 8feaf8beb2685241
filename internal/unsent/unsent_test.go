package unsent

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// connect returns both ends of a connection whose receiver takes few bytes that aren't read.
func connect(t *testing.T) (sender, receiver net.Conn) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	sender, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	receiver, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = receiver.Close() })
	return sender, receiver
}

// write writes until the receiver takes no more, and returns what the kernel has accepted.
func write(t *testing.T, c net.Conn) int {
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	n, _ := c.Write(make([]byte, 8<<20))
	return n
}

// Guards against bytes of a request that arrive after it was given up.
func TestCloseDropsWhatIsUnsent(t *testing.T) {
	sender, receiver := connect(t)
	written := write(t, sender)
	require.NoError(t, Close(sender))
	arrived, err := io.Copy(io.Discard, receiver)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Less(t, int(arrived), written)
}

// Guards against a reset, which may be lost, where an orderly end says the same.
func TestCloseIsOrderlyOnceAllIsSent(t *testing.T) {
	sender, receiver := connect(t)
	_, err := sender.Write([]byte("request"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !hasUnsent(sender.(*net.TCPConn)) }, 5*time.Second, time.Millisecond)
	require.NoError(t, Close(sender))
	arrived, err := io.ReadAll(receiver)
	require.NoError(t, err)
	require.Equal(t, "request", string(arrived))
}
