package entry

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/settings"
	"tamarackchute/upstream"
)

// Guards against an upstream that is cut off, or slow to accept, and that counts as crashed: its
// requests would be suspected.
func TestOnlyARefusedConnectionIsACrash(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	us := NewUpstreams(&settings.Deployment{Upstreams: []settings.Upstream{
		{Name: "engine", Kind: settings.KindEngine, Address: l.Addr().String()},
	}}, httpx.Options{})
	noTime, cancel := context.WithCancel(context.Background())
	cancel()
	require.NotErrorIs(t, us.Probe(noTime, "engine"), upstream.ErrNotSent)
	require.NoError(t, l.Close())
	require.ErrorIs(t, us.Probe(context.Background(), "engine"), upstream.ErrNotSent)
}
