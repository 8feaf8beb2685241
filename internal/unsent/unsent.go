// Package unsent ends connections whose requests are given up. After a plain close the kernel still sends what was written:
// behind a slow link or a full receiver a request arrives seconds after nobody wants it.
package unsent

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Close closes a connection, and drops what was written to it and isn't sent yet.
func Close(conn net.Conn) error {
	Drop(conn)
	return conn.Close()
}

// Drop makes the close of a connection drop what was written to it and isn't sent yet: its peer sees a reset then, and
// otherwise an orderly end, which is sent again if it is lost. Connections other than TCP are left as they are.
func Drop(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && hasUnsent(tcp) {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
}

// hasUnsent reports whether the kernel has bytes of a connection that it hasn't sent once.
func hasUnsent(tcp syscall.Conn) bool {
	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unsent := 0
	err = control.Control(func(fd uintptr) {
		unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD) // 0 if it isn't known
	})
	return err == nil && unsent > 0
}
