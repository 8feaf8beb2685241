package wire

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
)

// slowLink copies from one connection to another one at a rate.
func slowLink(to io.Writer, from io.Reader, bytesPerSecond int) {
	const step = 100 * time.Millisecond
	chunk := make([]byte, bytesPerSecond/int(time.Second/step))
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
		time.Sleep(step)
	}
}

// Guards against a configuration that the store holds and that no daemon can pass on.
func TestFrameHoldsALargeConfiguration(t *testing.T) {
	document := bytes.Repeat([]byte("rule "), 600_000)
	reply := HandlerFunc(func(_ string, _ Message, reply func(Message)) { reply(ViewReply{Config: document}) })
	s, _ := startServer(t, testConfig, "127.0.0.1:0", reply)
	got, err := Request(t.Context(), testConfig, s.Addr().String(), ViewRequest{})
	require.NoError(t, err)
	require.Equal(t, document, got.(ViewReply).Config)
}

// Guards against a large message that is given up because it takes longer than a silent peer may.
func TestLargeFrameCrossesASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := Limits{}.withDefaults()
		sender, senderEnd := net.Pipe()
		receiverEnd, receiver := net.Pipe()
		document := bytes.Repeat([]byte("rule "), 160<<10)
		var wg conc.WaitGroup
		defer wg.Wait()
		defer sender.Close()
		defer receiver.Close()
		wg.Go(func() { slowLink(receiverEnd, senderEnd, 40_000) })
		s := session{sendKey: []byte("k"), receiveKey: []byte("k")}
		wg.Go(func() { _ = newConn(sender, s, limits).send(ViewReply{Config: document}) })
		got, err := newConn(receiver, s, limits).receive()
		require.NoError(t, err)
		require.Equal(t, document, got.(ViewReply).Config)
	})
}
