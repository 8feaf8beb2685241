package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Mode is what a proxy does to the connections through it.
type Mode uint8

// The modes of a proxy.
const (
	// Passes lets everything through.
	ModePass Mode = iota
	// Delays holds each piece for a while, both ways.
	ModeDelay
	// Silences lets nothing through, nor the end of a connection. What is held
	// goes through afterwards, as lost packets are sent again.
	ModeStall
	// CutsReplies lets requests through and holds the replies.
	ModeStallReplies
	// Resets breaks all connections, and new ones at once.
	ModeReset
)

const (
	// pieceDelay is how long Delays holds a piece: longer than any link of a
	// site, shorter than the system's own timeouts.
	pieceDelay = 120 * time.Millisecond
	pieceBytes = 32 << 10
	dialWithin = time.Second
)

// Proxy passes connections on to a target on loopback.
type Proxy struct {
	listener net.Listener
	wg       conc.WaitGroup

	mu     sync.Mutex
	target string
	mode   Mode
	// changed is closed and replaced with each new mode.
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
}

// NewProxy listens at a loopback address. Close must be called.
func NewProxy(ip, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sends new connections elsewhere.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetMode changes what happens to the connections, at once.
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
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

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

func (p *Proxy) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	p.mu.Lock()
	target, broken := p.target, p.mode == ModeReset || p.closed
	p.mu.Unlock()
	if broken {
		reset(caller)
		return
	}
	server, err := net.DialTimeout("tcp", target, dialWithin)
	if err != nil {
		reset(caller)
		return
	}
	if !p.add(caller, server) {
		reset(caller)
		reset(server)
		return
	}
	defer p.drop(caller, server)
	var wg conc.WaitGroup
	wg.Go(func() { p.copy(server, caller, false) })
	wg.Go(func() { p.copy(caller, server, true) })
	wg.Wait()
}

func (p *Proxy) add(conns ...net.Conn) bool {
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

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// copy passes one direction on. A connection that ends on one side is ended on
// the other.
func (p *Proxy) copy(dst, src net.Conn, replies bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := src.Read(piece)
		p.hold(replies)
		if n > 0 {
			if _, werr := dst.Write(piece[:n]); werr != nil {
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

// hold waits for as long as the mode keeps this direction.
func (p *Proxy) hold(replies bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == ModeDelay:
			time.Sleep(pieceDelay)
			return
		case mode == ModeStall, mode == ModeStallReplies && replies:
			<-changed
		default:
			return
		}
	}
}
