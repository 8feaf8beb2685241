package graceful

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Bind opens a TCP address for Connections.Listen. Multipath TCP is off: its sockets support no
// filters, see rejectHandshakes.
func Bind(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", address)
}

// listener returns tracked connections. Once it is stopped, Accept returns those that were still
// queued and then blocks until the server calls Close: before that, the server would treat the
// listener's end as a failure.
type listener struct {
	net.Listener
	owner     *Connections
	closeOnce sync.Once
	closed    chan struct{}
	// stopping closes when stop begins, drained when the queued connections are in queued.
	stopping, drained chan struct{}
	queued            []net.Conn
	// returned closes once Accept doesn't use the listener any more: all that it accepted is
	// tracked.
	returnOnce sync.Once
	returned   chan struct{}
}

func newListener(l net.Listener, owner *Connections) *listener {
	return &listener{
		Listener: l, owner: owner, closed: make(chan struct{}),
		stopping: make(chan struct{}), drained: make(chan struct{}), returned: make(chan struct{}),
	}
}

// Accept implements net.Listener. It must not be called concurrently.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	for err == nil {
		if l.owner.admits() {
			return l.track(accepted), nil
		}
		_ = accepted.Close()
		accepted, err = l.Listener.Accept()
	}
	select {
	case <-l.stopping:
	default:
		return nil, err
	}
	l.returnOnce.Do(func() { close(l.returned) })
	select {
	case <-l.drained:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	if len(l.queued) > 0 {
		next := l.queued[0]
		l.queued = l.queued[1:]
		return next, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

// track returns the connection as a tracked one.
func (l *listener) track(accepted net.Conn) net.Conn {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		l.owner.log.Warn("connection not tracked", "remote", tcp.RemoteAddr().String(), "err", err)
		return accepted
	}
	c := &conn{TCPConn: tcp, raw: raw, owner: l.owner, accepted: time.Now()}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	c.head = l.owner.limits.Heads.Share()
	l.owner.open[c] = struct{}{}
	return c
}

// stop closes the listener without losing a connection that a caller has opened: it waits until
// Accept doesn't use the listener any more, and then accepts what is queued itself, so that
// nothing comes between the last look at the queue and the close.
func (l *listener) stop() {
	close(l.stopping)
	defer close(l.drained)
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = d.SetDeadline(time.Now()) // wakes Accept; fails only if the listener is closed
	}
	select {
	case <-l.returned:
	case <-l.closed:
		return
	case <-time.After(acceptTimeout):
		l.owner.log.Warn("some connections may not have been accepted", "address", l.Addr().String())
	}
	if err := l.drainQueue(); err != nil {
		l.owner.log.Warn("queued connections may be lost", "address", l.Addr().String(), "err", err)
	}
	_ = l.Listener.Close() // fails only if it was closed before
}

// drainQueue accepts the queued connections.
func (l *listener) drainQueue() error {
	conner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conner.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "listener's descriptor")
	}
	var drainErr error
	if err := raw.Control(func(fd uintptr) {
		if rejectHandshakes(int(fd)) == nil {
			time.Sleep(handshakeTime)
		}
		drainErr = l.acceptQueued(int(fd))
	}); err != nil {
		return eris.Wrap(err, "listener's descriptor")
	}
	return drainErr
}

// acceptQueued accepts connections until there are none. While no descriptor is free it tries
// again, for acceptTimeout at most.
func (l *listener) acceptQueued(fd int) error {
	deadline := time.Now().Add(acceptTimeout)
	for {
		accepted, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return nil
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		case isNoDescriptor(err) && time.Now().Before(deadline):
			time.Sleep(pollInterval)
			continue
		case err != nil:
			return eris.Wrap(err, "accept")
		}
		c, err := connOf(accepted, deadline)
		if err != nil {
			return eris.Wrap(err, "accepted connection")
		}
		l.queued = append(l.queued, l.track(c))
	}
}

func isNoDescriptor(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)
}

// connOf returns the connection of a descriptor, which it takes over.
func connOf(fd int, deadline time.Time) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }() // the connection has a descriptor of its own
	for {
		c, err := net.FileConn(file)
		if !isNoDescriptor(err) || time.Now().After(deadline) {
			return c, err
		}
		time.Sleep(pollInterval)
	}
}

// rejectHandshakes makes a listening socket drop the packets that open a connection. Handshakes in
// progress are completed; a caller that tries again is refused once the listener is closed.
func rejectHandshakes(fd int) error {
	const (
		flagsOffset = 13 // of the flags in the TCP header
		synAndAck   = 0x12
		syn         = 0x02
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: synAndAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}

// Close implements net.Listener.
func (l *listener) Close() error {
	_ = l.Listener.Close() // fails only if it was closed before
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
