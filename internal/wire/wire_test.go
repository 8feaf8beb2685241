package wire

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"tamarackchute/rules"
)

var (
	testSecret = []byte("a secret of the tests, 32 bytes.")
	discardLog = slog.New(slog.DiscardHandler)
	testConfig = Config{Name: "i1/entry", Secret: testSecret}
)

// echo replies to each message with the sender's name.
var echo = HandlerFunc(func(peer string, _ Message, reply func(Message)) {
	reply(rulesReply(peer))
})

func rulesReply(document string) RulesReply {
	version := rules.Version{Offset: 7, Index: 3}
	state := rules.PeerState{State: rules.State{Version: version, Document: []byte(document)}, Settled: true}
	return RulesReply{PeerState: state, Draining: []string{"e1"}}
}

// startServer runs a server on an address until the test ends or stop is called.
func startServer(t *testing.T, cfg Config, address string, h Handler) (s *Server, stop func()) {
	t.Helper()
	s = NewServer(cfg, address, h, discardLog)
	require.NoError(t, s.Bind())
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx) })
	stop = func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	return s, stop
}

// runHandshakes runs both sides over a pipe and returns their errors.
func runHandshakes(client, server func(io.ReadWriter) error) (clientErr, serverErr error) {
	a, b := net.Pipe()
	var wg conc.WaitGroup
	wg.Go(func() { clientErr = client(a); _ = a.Close() })
	wg.Go(func() { serverErr = server(b); _ = b.Close() })
	wg.Wait()
	return clientErr, serverErr
}

func asClient(secret []byte) func(io.ReadWriter) error {
	return func(rw io.ReadWriter) error { _, err := handshakeClient(rw, "c", secret); return err }
}

func asServer(secret []byte) func(io.ReadWriter) error {
	return func(rw io.ReadWriter) error { _, err := handshakeServer(rw, "s", secret); return err }
}

func TestHandshakeRejectsWrongSecret(t *testing.T) {
	wrong := bytes.Repeat([]byte("x"), len(testSecret))
	_, serverErr := runHandshakes(asClient(wrong), asServer(testSecret))
	require.ErrorIs(t, serverErr, ErrNotAuthenticated)

	// A server that accepts every client still can't authenticate itself to one.
	lax := func(rw io.ReadWriter) error {
		_, _, _ = receiveHello(rw)
		_, _ = sendHello(rw, "lax")
		_, _ = readPrefixed(rw, maxHandshakeBytes)
		return writePrefixed(rw, make([]byte, 32))
	}
	clientErr, _ := runHandshakes(asClient(testSecret), lax)
	require.ErrorIs(t, clientErr, ErrNotAuthenticated)
}

// Guards against an attacker who records the client's side of a handshake and replays
// it to the server, or reflects a side's proof back to it. The server's new nonce and
// the labels of the sides prevent both.
func TestHandshakeRejectsReplays(t *testing.T) {
	var recorded bytes.Buffer
	recording := func(rw io.ReadWriter) error {
		return asClient(testSecret)(struct {
			io.Reader
			io.Writer
		}{rw, io.MultiWriter(rw, &recorded)})
	}
	clientErr, serverErr := runHandshakes(recording, asServer(testSecret))
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)

	replay := func(rw io.ReadWriter) error {
		helloSize := lengthBytes + int(binary.BigEndian.Uint32(recorded.Bytes()))
		_, _ = rw.Write(recorded.Bytes()[:helloSize])
		_, _, _ = receiveHello(rw)
		_, err := rw.Write(recorded.Bytes()[helloSize:])
		return err
	}
	_, serverErr = runHandshakes(replay, asServer(testSecret))
	require.ErrorIs(t, serverErr, ErrNotAuthenticated)

	reflect := func(rw io.ReadWriter) error {
		_, _, _ = receiveHello(rw)
		_, _ = sendHello(rw, "mirror")
		proof, _ := readPrefixed(rw, maxHandshakeBytes)
		return writePrefixed(rw, proof)
	}
	clientErr, _ = runHandshakes(asClient(testSecret), reflect)
	require.ErrorIs(t, clientErr, ErrNotAuthenticated)
}

func TestInvalidFramesAreRejected(t *testing.T) {
	key := []byte("key")
	frame, err := newSealer(key).seal(rulesReply("rules"))
	require.NoError(t, err)
	altered := bytes.Clone(frame)
	altered[lengthBytes+3] ^= 1
	for name, tc := range map[string]struct {
		frames [][]byte
		want   error
	}{
		"altered":                 {[][]byte{altered}, ErrTampered},
		"replayed":                {[][]byte{frame, frame}, ErrTampered},
		"from another connection": {[][]byte{mustSeal(t, []byte("other"))}, ErrTampered},
		"too short":               {[][]byte{{0, 0, 0, 1, 1}}, ErrMalformed},
		"truncated body":          {[][]byte{frame[:20]}, io.ErrUnexpectedEOF},
		"truncated length":        {[][]byte{frame[:2]}, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			r, in := bytes.NewReader(bytes.Join(tc.frames, nil)), newSealer(key)
			var err error
			for err == nil {
				var data []byte
				if data, err = readPrefixed(r, MaxFrameBytes); err == nil {
					_, err = in.open(data)
				}
			}
			require.ErrorIs(t, err, tc.want)
		})
	}
}

func mustSeal(t *testing.T, key []byte) []byte {
	frame, err := newSealer(key).seal(Ping{})
	require.NoError(t, err)
	return frame
}

// Guards against a peer that announces a frame of 4 GB, and against sending a frame
// that is too large. Neither may allocate its size or reach the other side.
func TestOversizedFrames(t *testing.T) {
	_, err := readPrefixed(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}), MaxFrameBytes)
	var tooLarge *TooLargeError
	require.ErrorAs(t, err, &tooLarge)
	_, err = newSealer(nil).seal(rulesReply(string(make([]byte, MaxFrameBytes))))
	require.ErrorAs(t, err, &tooLarge)
}

// Guards against a peer that connects and stays silent, or stops reading. It must not
// hold a connection or a goroutine beyond the limits.
func TestSilentPeersAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(testConfig, "", echo, discardLog)
		silent, end := net.Pipe()
		defer silent.Close()
		start := time.Now()
		s.serveConn(t.Context(), end)
		require.Equal(t, defaultHandshake, time.Since(start))

		silent, end = net.Pipe()
		defer silent.Close()
		c := newConn(end, session{}, s.cfg.Limits)
		start = time.Now()
		require.Error(t, c.run(t.Context(), newOutbox(), func(Message) {}))
		require.Equal(t, defaultPing+defaultWrite, time.Since(start), "the first ping can't be written")
	})
}

func TestRequestOverTLS(t *testing.T) {
	certs := httptest.NewTLSServer(nil)
	defer certs.Close()
	authorities := x509.NewCertPool()
	authorities.AddCert(certs.Certificate())
	cfg := testConfig
	cfg.ServerTLS = &tls.Config{Certificates: certs.TLS.Certificates}
	cfg.ClientTLS = &tls.Config{RootCAs: authorities}
	s, _ := startServer(t, cfg, "127.0.0.1:0", echo)
	answer, err := Request(t.Context(), cfg, s.Addr().String(), RulesRequest{})
	require.NoError(t, err)
	require.Equal(t, rulesReply("i1/entry"), answer)

	_, err = Request(t.Context(), testConfig, s.Addr().String(), RulesRequest{})
	require.Error(t, err, "a TLS listener rejects a plaintext peer")
}

// Guards against a link that doesn't reconnect after its controller was down or was
// restarted, or that then delivers queued statuses instead of the newest: the
// controller would take the old ones for current.
func TestLinkReconnectsAndSendsNewest(t *testing.T) {
	received := make(chan uint64, 100)
	receive := HandlerFunc(func(_ string, m Message, _ func(Message)) { received <- m.(EntryStatus).Seq })
	cfg := testConfig
	cfg.Limits = Limits{RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond}
	// Not 127.0.0.1: a dial from there to a free port may connect to itself.
	s, stop := startServer(t, cfg, "127.9.0.1:0", receive)
	address := s.Addr().String()
	stop()

	links := NewLinks("links", cfg, nil, discardLog)
	for seq := range uint64(7) {
		links.Send(address, EntryStatus{Seq: seq})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = links.Serve(ctx) })
	defer func() { cancel(); wg.Wait() }()
	_, stop = startServer(t, cfg, address, receive)
	require.Equal(t, uint64(6), <-received)

	stop()
	startServer(t, cfg, address, receive)
	for {
		links.Send(address, EntryStatus{Seq: 7})
		select {
		case seq := <-received:
			require.Equal(t, uint64(7), seq)
			return
		case <-time.After(time.Millisecond):
			// A message written to the old connection is lost.
		}
	}
}

func TestOutboxDropsOldest(t *testing.T) {
	o := newOutbox()
	for seq := range uint64(outboxSize + 3) {
		require.Equal(t, seq >= outboxSize, o.put(EntryStatus{Seq: seq}))
	}
	first, ok := o.take()
	require.True(t, ok)
	require.Equal(t, uint64(3), first.(EntryStatus).Seq)
	o.keepNewest()
	last, _ := o.take()
	require.Equal(t, uint64(outboxSize+2), last.(EntryStatus).Seq)
	_, ok = o.take()
	require.False(t, ok)
}

// Any bytes from an authenticated peer must give a message or an error.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{Heartbeat{}, Summary{}, EntryStatus{InFlight: []EngineInFlight{{"e", 1}}}, RulesReply{}} {
		body, err := encode(m)
		require.NoError(f, err)
		f.Add(byte(m.Kind()), body)
	}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		if m, err := decode(Kind(kind), body); err == nil {
			require.Equal(t, Kind(kind), m.Kind())
		}
	})
}

// Any bytes from an unauthenticated peer must give a frame or an error.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, 1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		if raw, err := readPrefixed(r, 1<<12); err == nil {
			require.LessOrEqual(t, len(raw), 1<<12)
			_, _ = newSealer(nil).open(raw)
		}
		_, _, _ = receiveHello(bytes.NewReader(data))
	})
}
