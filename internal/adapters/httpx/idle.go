package httpx

import (
	"net"
	"syscall"
)

// isIdle reports, without blocking, whether a connection is open and has no bytes
// to read. A connection of unknown type counts as idle.
func isIdle(conn net.Conn) bool {
	sc, ok := transport(conn).(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK)
}

// resetOnClose makes the close of a connection reset it. A regular close would keep the
// local port in TIME_WAIT, and a connection for each request would use up the ports. It is
// for connections whose last response has been read.
func resetOnClose(conn net.Conn) {
	if tcp, ok := transport(conn).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// transport returns the connection under TLS.
func transport(conn net.Conn) net.Conn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return wrapped.NetConn()
	}
	return conn
}
