package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Mode is what a proxy does to its connections.
type Mode uint8

// The modes of a proxy.
const (
	// ModePass forwards everything.
	ModePass Mode = iota
	// ModeDelay delays each chunk in both directions.
	ModeDelay
	// ModeStall holds back all data and the close of a connection. They are delivered
	// afterwards, as TCP resends lost packets.
	ModeStall
	// ModeStallReplies forwards requests and holds back the replies.
	ModeStallReplies
	// ModeReset resets all connections, and new ones at once.
	ModeReset
	// ModeResetNew resets new connections at once; those from before live on.
	ModeResetNew
)

const (
	// chunkDelay is longer than the latency of any link of a site and shorter than the system's
	// own timeouts.
	chunkDelay  = 120 * time.Millisecond
	chunkSize   = 32 << 10
	dialTimeout = time.Second
)

// Proxy forwards TCP connections to a target on loopback.
type Proxy struct {
	listener net.Listener
	wg       conc.WaitGroup

	mu     sync.Mutex
	target string
	mode   Mode
	// modes are the modes of connections from single addresses; they precede the proxy's.
	modes map[string]Mode
	// changed is closed and replaced whenever the mode is set.
	changed chan struct{}
	conns   map[net.Conn]struct{}
	// silent are the connections on which everything is lost.
	silent map[net.Conn]struct{}
	// sources holds the IP address from which each connection to the target is used, by the local
	// address of that connection.
	sources map[string]string
	closed  bool
}

// NewProxy listens at a loopback address. Close must be called.
func NewProxy(ip, target string) (*Proxy, error) {
	l, err := listenTCP(net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, eris.Wrap(err, "proxy listener")
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{}), silent: make(map[net.Conn]struct{}), modes: make(map[string]Mode), sources: make(map[string]string)}
	p.wg.Go(func() { p.accept(l) })
	return p, nil
}

// Address returns the address that the proxy listens at.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetMode changes the mode of all connections, including open ones.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if m == ModeReset {
		p.closeAll()
	}
}

// SetModeFor changes the mode of all connections that come from an IP address, including open ones.
func (p *Proxy) SetModeFor(ip string, m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modes[ip] = m
	if m == ModePass {
		delete(p.modes, ip)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	if err := p.filter(); err != nil && !errors.Is(err, net.ErrClosed) {
		panic(err) // the run would not have the fault that it reports
	}
	if m != ModeReset {
		return
	}
	for c := range p.conns {
		if hostOf(c.RemoteAddr()) == ip {
			reset(c)
		}
	}
}

// filter keeps new connections from being made that would get no answer. p.mu is held.
func (p *Proxy) filter() error {
	var silent []string
	for ip, m := range p.modes {
		if m == ModeStall || m == ModeStallReplies {
			silent = append(silent, ip)
		}
	}
	return dropPacketsFrom(p.listener, silent)
}

func hostOf(a net.Addr) string { return a.(*net.TCPAddr).IP.String() }

// modeFor returns the mode of a connection. p.mu is held.
func (p *Proxy) modeFor(ip string) Mode {
	if m, set := p.modes[ip]; set {
		return m
	}
	return p.mode
}

// Pause closes the listener, as if no program listened at the address, and resets all connections.
func (p *Proxy) Pause() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.closeAll()
}

// Resume listens at the address again. If that fails, the run can't go on.
func (p *Proxy) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	l, err := listenTCP(p.listener.Addr().String())
	if err != nil {
		panic(err)
	}
	p.listener = l
	if err := p.filter(); err != nil {
		panic(err)
	}
	p.wg.Go(func() { p.accept(l) })
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.SetMode(ModeReset)
	p.wg.Wait()
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // the listener is closed
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

func (p *Proxy) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	p.mu.Lock()
	mode := p.modeFor(hostOf(caller.RemoteAddr()))
	target, broken := p.target, mode == ModeReset || mode == ModeResetNew || p.closed
	p.mu.Unlock()
	if broken {
		reset(caller)
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	if !p.track(caller, server) {
		reset(caller)
		reset(server)
		return
	}
	defer p.untrack(caller, server)
	p.setSource(server, hostOf(caller.RemoteAddr()))
	var wg conc.WaitGroup
	from := hostOf(caller.RemoteAddr())
	wg.Go(func() { p.forward(server, caller, from, false) })
	wg.Go(func() { p.forward(caller, server, from, true) })
	wg.Wait()
}

func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == ModeReset {
		return false
	}
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
	return true
}

func (p *Proxy) setSource(server net.Conn, ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sources[server.LocalAddr().String()] = ip
}

// Source returns the IP address for which the proxy connects to the target from an address.
func (p *Proxy) Source(address string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ip, known := p.sources[address]
	return ip, known
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		delete(p.silent, c)
	}
}

// forward copies one direction. When either side closes, it closes both.
func (p *Proxy) forward(dst, src net.Conn, from string, replies bool) {
	chunk := make([]byte, chunkSize)
	for {
		n, err := src.Read(chunk)
		p.awaitMode(from, replies)
		if n > 0 && !p.isSilent(src) {
			if _, werr := dst.Write(chunk[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = dst.Close()
			_ = src.Close()
			return
		}
	}
}

// awaitMode blocks while the mode of connections from an address holds back this direction.
func (p *Proxy) awaitMode(from string, replies bool) {
	for {
		p.mu.Lock()
		mode, changed := p.modeFor(from), p.changed
		p.mu.Unlock()
		switch {
		case mode == ModeDelay:
			time.Sleep(chunkDelay)
			return
		case mode == ModeStall, mode == ModeStallReplies && replies:
			<-changed
		default:
			return
		}
	}
}
