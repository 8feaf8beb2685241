package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/daemonstatus"
)

var someDaemon = daemonstatus.Daemon{
	Instance: "a-1", DataCentre: "a", Ready: true, Requests: 7, ConfigVersion: 12, StoreEra: 2, UpstreamsAgeMS: 640,
	Lease: daemonstatus.Lease{Candidate: true, Held: true, FencingToken: 5},
	Peers: []daemonstatus.Peer{
		{Instance: "a-2", DataCentre: "a", Up: true, Serving: true, UpdateAgeMS: 110, ConfigVersion: 12},
		{Instance: "b-1", DataCentre: "b", UpdateAgeMS: 9_400, ConfigVersion: 11},
	},
	Upstreams: []daemonstatus.Upstream{
		{ID: "e1", Pool: "llm", Address: "10.0.0.1:80", DataCentre: "a", Role: "prefill", Usable: true, Running: 3, Slots: 12},
		{ID: "s1", Pool: "slips", Address: "10.0.0.2:80", DataCentre: "b", Draining: true, Slots: 6},
	},
	Budgets: []daemonstatus.Budget{{Pool: "llm", Requests: 900, Retries: 4, Allowed: 185.4}},
}

func statusServer(t *testing.T, d daemonstatus.Daemon) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != daemonstatus.Path {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(d)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Half of the site is down. The table must still tell what the other half knows,
// and which daemons don't answer.
func TestDaemonsAreShown(t *testing.T) {
	out, _, code := explain(t, "", "daemons", statusServer(t, someDaemon)+",127.0.0.1:1")
	require.Equal(t, ExitOK, code)
	golden := filepath.Join("testdata", "daemons.golden")
	if *update {
		require.NoError(t, os.WriteFile(golden, []byte(out), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), out)
}

func TestDaemonsAsJSON(t *testing.T) {
	out, _, code := explain(t, "", "-o", "json", "daemons", statusServer(t, someDaemon))
	require.Equal(t, ExitOK, code)
	var got []daemonReport
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	require.Equal(t, &someDaemon, got[0].Status)
}

func TestNoDaemonAnswers(t *testing.T) {
	_, errs, code := explain(t, "", "daemons", "127.0.0.1:1")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errs, "no daemon answers")
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, errs, code = explain(t, "", "daemons", server.Listener.Addr().String())
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errs, "404")
}
