package graceful

import (
	"net"
	"sync"
	"time"
)

// listener returns tracked connections. Once it is stopped, Accept blocks until the server
// calls Close: before that, the server would treat the listener's end as a failure.
type listener struct {
	net.Listener
	owner     *Connections
	stopOnce  sync.Once
	closeOnce sync.Once
	closed    chan struct{}
	stopping  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		select {
		case <-l.stopping:
			<-l.closed
			return nil, net.ErrClosed
		default:
			return nil, err
		}
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		l.owner.log.Warn("connection not tracked", "remote", tcp.RemoteAddr().String(), "err", err)
		return accepted, nil
	}
	c := &conn{TCPConn: tcp, raw: raw, owner: l.owner, accepted: time.Now()}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	l.owner.open[c] = struct{}{}
	return c, nil
}

// stop stops accepting connections.
func (l *listener) stop() {
	l.stopOnce.Do(func() {
		close(l.stopping)
		_ = l.Listener.Close() // fails only if it was closed before
	})
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.stop()
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
