package member

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/fleet"
	"tamarackchute/internal/graceful"
	"tamarackchute/internal/relay"
	"tamarackchute/placement"
)

const stopRequest = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// stoppingDaemon is the callers' address of a daemon, with a handler of the test's choice.
type stoppingDaemon struct {
	t        *testing.T
	member   *Member
	service  *httpService
	listener *closingListener
	// beforeClose is called before the last connections are closed.
	beforeClose func()
}

// closingListener calls closing before it is closed.
type closingListener struct {
	*net.TCPListener
	once    sync.Once
	closing func()
}

// Close implements net.Listener.
func (l *closingListener) Close() error {
	l.once.Do(func() {
		if l.closing != nil {
			l.closing()
		}
	})
	return l.TCPListener.Close()
}

// newStoppingDaemon returns a serving daemon. drainTime is its grace period after the
// directory answers have expired.
func newStoppingDaemon(t *testing.T, drainTime time.Duration, handler http.HandlerFunc) *stoppingDaemon {
	t.Parallel()
	inner, err := graceful.Bind("127.0.0.1:0")
	require.NoError(t, err)
	log := slog.New(slog.DiscardHandler)
	m := &Member{log: log, callerConns: graceful.New(log), otherConns: graceful.New(log)}
	m.settings.Store(&Settings{Grace: directoryTTLFactor*directoryTTL + drainTime + stopMargin})
	m.relay = relay.New(relay.Config{State: fleet.NewState(), Tracker: placement.NewTracker(nil), Logger: log})
	d := &stoppingDaemon{t: t, member: m, listener: &closingListener{TCPListener: inner.(*net.TCPListener)}, beforeClose: func() {}}
	server := newServer(handler)
	server.ConnState = m.callerConns.ConnState
	d.service = &httpService{name: "callers", server: server, listener: m.callerConns.Listen(d.listener)}
	return d
}

// start serves until the returned function, which does what Run does after the stop signal, has
// ended the last connections.
func (d *stoppingDaemon) start() (stop func()) {
	work, stopWork := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = d.service.Serve(work)
	}()
	return func() {
		d.member.drain(d.beforeClose)
		stopWork()
		<-served
		_ = d.service.server.Close() // the exit
	}
}

// dialTimeout is how long dial waits for a connection.
const dialTimeout = 200 * time.Millisecond

// dial returns nil unless the connection is opened.
func (d *stoppingDaemon) dial() net.Conn {
	c, err := net.DialTimeout("tcp", d.listener.Addr().String(), dialTimeout)
	if err != nil {
		return nil
	}
	d.t.Cleanup(func() { _ = c.Close() })
	require.NoError(d.t, c.SetDeadline(time.Now().Add(time.Minute)))
	return c
}

// requireAnswer sends a request and reads its response.
func (d *stoppingDaemon) requireAnswer(c net.Conn) {
	_, err := io.WriteString(c, stopRequest)
	require.NoError(d.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(d.t, err, "accepted, but not answered")
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(d.t, err)
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Guards against a stopping daemon that ends an accepted connection, while its grace period
// lasts, before the caller has sent its request.
func TestConnectionOpenedBeforeStopIsAnswered(t *testing.T) {
	d := newStoppingDaemon(t, time.Minute, ok)
	closing := make(chan struct{})
	d.listener.closing = func() { close(closing) }
	stop := d.start()
	c := d.dial()
	ended := make(chan struct{})
	go func() { defer close(ended); stop() }()
	<-closing
	time.Sleep(50 * time.Millisecond) // the connections are closed right after the listener
	d.requireAnswer(c)
	<-ended
}

// Guards against a busy daemon that accepts connections until the end of its grace period and
// cuts them off before their callers' requests arrive.
func TestLastConnectionOfBusyDaemonIsAnsweredOrRefused(t *testing.T) {
	for _, late := range []time.Duration{20 * time.Millisecond, 160 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			busy, release := make(chan struct{}), make(chan struct{})
			var once sync.Once
			d := newStoppingDaemon(t, time.Second, func(w http.ResponseWriter, q *http.Request) {
				if q.URL.Path == "/busy" {
					once.Do(func() { close(busy) })
					<-release
				}
				ok(w, q)
			})
			defer close(release)
			var c net.Conn
			closing := make(chan struct{})
			d.listener.closing = func() {
				c = d.dial()
				close(closing)
			}
			stop := d.start()
			long := d.dial()
			_, err := io.WriteString(long, "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			<-busy
			go stop()
			<-closing
			if c == nil {
				return
			}
			time.Sleep(late)
			d.requireAnswer(c)
		})
	}
}

// Guards against a request that the server has read and drops without an answer, as its
// goroutine goes on only after the server's shutdown has begun.
func TestReadRequestIsAnsweredThoughServerShutsDown(t *testing.T) {
	d := newStoppingDaemon(t, time.Second, ok)
	read, resume := make(chan struct{}), make(chan struct{})
	conns := d.member.callerConns
	d.service.server.ConnState = func(c net.Conn, s http.ConnState) {
		conns.ConnState(c, s)
		if s == http.StateActive {
			close(read)
			<-resume
		}
	}
	closing := make(chan struct{})
	d.listener.closing = func() { close(closing) }
	stop := d.start()
	c := d.dial()
	_, err := io.WriteString(c, stopRequest)
	require.NoError(t, err)
	<-read
	go stop()
	<-closing
	time.AfterFunc(stopMargin/3, func() { close(resume) })
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "read, but not answered")
	_ = resp.Body.Close()
}

// Guards against an exit that cuts off responses which end with the grace period, although
// stopMargin is left for them.
func TestLastResponseIsWritten(t *testing.T) {
	ended, release := make(chan struct{}), make(chan struct{})
	started := make(chan struct{})
	d := newStoppingDaemon(t, time.Second, func(w http.ResponseWriter, q *http.Request) {
		close(started)
		<-release
		ok(w, q)
	})
	stop := d.start()
	c := d.dial()
	_, err := io.WriteString(c, stopRequest)
	require.NoError(t, err)
	<-started
	d.beforeClose = func() { close(ended) } // the grace is over, as a request is in progress
	go stop()
	<-ended
	time.AfterFunc(stopMargin/10, func() { close(release) })
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_ = resp.Body.Close()
}

// Guards against a stop that cuts off a request at another address than the callers', such as the
// directory.
func TestDirectoryRequestIsAnswered(t *testing.T) {
	d := newStoppingDaemon(t, time.Minute, ok)
	l, err := graceful.Bind("127.0.0.1:0")
	require.NoError(t, err)
	release, started := make(chan struct{}), make(chan struct{})
	directory := newServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		close(started)
		<-release
		ok(w, q)
	}))
	directory.ConnState = d.member.otherConns.ConnState
	d.member.otherConns.LimitWait(graceful.AcceptReserve)
	go func() { _ = directory.Serve(d.member.otherConns.Listen(l)) }()
	closing := make(chan struct{})
	d.listener.closing = func() { close(closing) }
	stop := d.start()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, stopRequest)
	require.NoError(t, err)
	<-started
	go func() {
		stop()
		_ = directory.Close() // the exit
	}()
	<-closing
	time.AfterFunc(graceful.AcceptReserve/4, func() { close(release) })
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_ = resp.Body.Close()
}

// Guards against a daemon with a short grace period that is still waiting for directory answers to
// expire when it is killed.
func TestStopEndsWithinGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, stopMargin / 2, time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second, time.Minute} {
		directories, drain := drainTimes(grace)
		require.LessOrEqual(t, directories+drain+stopMargin, max(grace, stopMargin), grace)
		require.LessOrEqual(t, directories, directoryTTLFactor*directoryTTL, grace)
		require.GreaterOrEqual(t, drain, directories, grace)
	}
}
