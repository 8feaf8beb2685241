package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a daemon that is avoided for a connection that couldn't be made although it has answered
// since, and against one that is asked again although it answers nothing or refuses.
func TestAvoidedDaemons(t *testing.T) {
	peer := ForwardPeer{Instance: "d2", Address: "127.0.0.1:1"}
	began := time.Now()
	for name, c := range map[string]struct {
		happens func(f *forwarder)
		usable  bool
	}{
		"nothing":                          {happens: func(*forwarder) {}, usable: true},
		"not reached":                      {happens: func(f *forwarder) { f.unreached(peer, began) }},
		"answered while it wasn't reached": {happens: func(f *forwarder) { f.answered(peer); f.unreached(peer, began) }, usable: true},
		"not reached since its answer":     {happens: func(f *forwarder) { f.answered(peer); f.unreached(peer, time.Now()) }},
		"answers again":                    {happens: func(f *forwarder) { f.unreached(peer, began); f.answered(peer) }, usable: true},
		"answers that it can't":            {happens: func(f *forwarder) { f.answered(peer); f.refused(peer, time.Second) }},
		"others are answered after that":   {happens: func(f *forwarder) { f.refused(peer, time.Second); f.answered(peer) }},
		"not reached after a refusal":      {happens: func(f *forwarder) { f.refused(peer, time.Second); f.unreached(peer, began); f.answered(peer) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(nil)
			c.happens(f)
			got := f.usable([]ForwardPeer{peer}, anyPeer, time.Now())
			require.Equal(t, c.usable, len(got) == 1)
		})
	}
}
