package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/entry/discovery"
	"tamarackchute/internal/settings"
	"tamarackchute/journal/journaltest"
	"tamarackchute/membership"
	"tamarackchute/upstream"
)

// allLive is a view in which all instances are live.
type allLive struct{}

// State implements discovery.Members.
func (allLive) State(string) membership.State { return membership.Live }

// deploymentAt returns a sample deployment whose upstreams are all at one address.
func deploymentAt(t *testing.T, address string) *settings.Deployment {
	d, err := settings.Load("../../deploy/kalku-rinda/settings.json")
	require.NoError(t, err)
	for i := range d.Upstreams {
		d.Upstreams[i].Address = address
	}
	return d
}

// deadAddress returns an address that refuses connections.
func deadAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// Guards against crashes that only an instance without a path has seen.
func TestUpstreamThatRefusesHereOnlyHasNotCrashed(t *testing.T) {
	live := httptest.NewServer(http.NotFoundHandler())
	defer live.Close()
	for _, reached := range []bool{true, false} {
		remote := deadAddress(t)
		if reached {
			remote = live.Listener.Addr().String()
		}
		d := deploymentAt(t, deadAddress(t))
		log := journaltest.NewLog()
		b := newTestEntry(t, deploymentAt(t, remote), log, d.Instances[1].Name)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = b.gateway.ForwardedApp().Listener(l) }()
		t.Cleanup(func() { _ = b.gateway.ForwardedApp().ShutdownWithTimeout(time.Minute) })
		for i := range d.Instances {
			d.Instances[i].Forwards = ""
		}
		d.Instances[1].Forwards = l.Addr().String()
		a := newTestEntry(t, d, log, d.Instances[0].Name)
		a.forwarder.members = allLive{}
		for _, u := range d.Upstreams {
			err := a.probe(context.Background(), u.Name)
			require.Error(t, err)
			if reached {
				require.NotErrorIs(t, err, upstream.ErrNotSent, u.Name)
			} else {
				require.ErrorIs(t, err, upstream.ErrNotSent, u.Name)
			}
		}
	}
}

// Guards against an instance that takes callers although it has lost all paths, and that isn't told
// apart from others by its own directory.
func TestFailedConnectionsLoseThePath(t *testing.T) {
	d := deploymentAt(t, deadAddress(t))
	a := newTestEntry(t, d, journaltest.NewLog(), d.Instances[0].Name)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = a.paths.Serve(ctx) }()
	defer func() { cancel(); <-done }()
	require.True(t, a.forwarder.HasPath(d.Upstreams[0].Pool))
	_, err := a.cfg.Upstreams.Engine(engineNames(d)[0]).Load(ctx)
	require.ErrorIs(t, err, upstream.ErrNotSent)
	require.Eventually(t, func() bool { return !a.paths.HasPath() }, 10*time.Second, 5*time.Millisecond, "all pools are checked once one is lost")

	directory := discovery.New(d, a.self, allLive{})
	directory.HasPath = a.paths.HasPath
	addresses := directory.Locate(a.self.DataCentre).Addresses
	require.Equal(t, a.self.Name, addresses[len(addresses)-1].Instance, "it comes last")
}
