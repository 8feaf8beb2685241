package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"golang.org/x/sync/semaphore"

	"tamarackchute/internal/codec"
)

// acceptRetryDelay keeps a failing accept from spinning.
const acceptRetryDelay = 100 * time.Millisecond

// Handler handles the messages that a server receives. It is called from one
// goroutine per connection and must not block. reply sends to the connection of the
// message. It may be called after Handle has returned; once the connection is closed,
// replies are dropped.
type Handler interface {
	Handle(peer string, m Message, reply func(Message))
}

// HandlerFunc adapts a function to the Handler interface.
type HandlerFunc func(peer string, m Message, reply func(Message))

// Handle implements Handler.
func (f HandlerFunc) Handle(peer string, m Message, reply func(Message)) { f(peer, m, reply) }

// Server accepts connections from the system's other processes.
type Server struct {
	cfg     Config
	address string
	handler Handler
	log     *slog.Logger

	mu       sync.Mutex
	listener net.Listener
}

// NewServer returns a server for an address; Serve runs it.
func NewServer(cfg Config, address string, handler Handler, log *slog.Logger) *Server {
	cfg.Limits = cfg.Limits.withDefaults()
	return &Server{cfg: cfg, address: address, handler: handler, log: log}
}

// String names the service for the supervisor.
func (s *Server) String() string { return "wire server " + s.address }

// Bind opens the listener before Serve does. A process that must make sure that no
// other one serves the address, such as its predecessor on the same instance, calls it
// first. It may be called repeatedly.
func (s *Server) Bind() error {
	_, err := s.bind()
	return err
}

func (s *Server) bind() (net.Listener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return s.listener, nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %s", s.address)
	}
	s.listener = l
	return l, nil
}

// Addr returns the bound address, or nil before Bind.
func (s *Server) Addr() net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// Serve accepts connections until the context ends, then closes them all.
func (s *Server) Serve(ctx context.Context) error {
	l, err := s.bind()
	if err != nil {
		return err
	}
	defer s.closeListener(l)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()

	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	free := semaphore.NewWeighted(int64(s.cfg.Limits.Connections))
	for {
		raw, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "peer listener")
		}
		if err != nil {
			// For example, out of file descriptors. Open connections aren't affected.
			s.log.Warn("accepting peer connection failed", "err", err)
			sleep(ctx, acceptRetryDelay)
			continue
		}
		if !free.TryAcquire(1) {
			// At the limit, a peer is rejected immediately; it will retry.
			_ = raw.Close()
			continue
		}
		wg.Go(func() {
			defer free.Release(1)
			s.serveConn(ctx, raw)
		})
	}
}

func (s *Server) closeListener(l net.Listener) {
	_ = l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = nil
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	c, err := s.authenticate(ctx, raw)
	if err != nil {
		s.log.Warn("peer rejected", "remote", raw.RemoteAddr().String(), "err", err)
		return
	}
	out := newOutbox()
	reply := func(m Message) { out.put(m) }
	err = c.run(ctx, out, func(m Message) { s.handler.Handle(c.peer, m, reply) })
	if isProtocolError(err) {
		s.log.Warn("peer connection failed", "peer", c.peer, "err", err)
	}
}

// isProtocolError tells a violation of the protocol from the end of a connection.
func isProtocolError(err error) bool {
	var tooLarge *TooLargeError
	return errors.Is(err, ErrTampered) || errors.Is(err, ErrMalformed) ||
		errors.Is(err, codec.ErrMalformed) || errors.As(err, &tooLarge)
}

// authenticate carries out the handshake within its time limit, so that a slow or
// silent peer can't occupy a connection for longer.
func (s *Server) authenticate(ctx context.Context, raw net.Conn) (*conn, error) {
	if s.cfg.ServerTLS != nil {
		raw = tls.Server(raw, s.cfg.ServerTLS)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	if err := raw.SetDeadline(time.Now().Add(s.cfg.Limits.Handshake)); err != nil {
		return nil, err
	}
	sess, err := handshakeServer(raw, s.cfg.Name, s.cfg.Secret)
	if err != nil {
		return nil, err
	}
	return newConn(raw, sess, s.cfg.Limits), raw.SetDeadline(time.Time{})
}
