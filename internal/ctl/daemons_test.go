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

var sampleDaemon = daemonstatus.Daemon{
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
	RetryBudgets: []daemonstatus.RetryBudget{{Pool: "llm", Requests: 900, Retries: 4, Allowed: 185.4}},
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

// With some daemons down, the table must still show the status of the others and name
// the daemons that don't answer.
func TestDaemonsTable(t *testing.T) {
	out, _, code := runCommand(t, "", "daemons", statusServer(t, sampleDaemon)+",127.0.0.1:1")
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
	out, _, code := runCommand(t, "", "-o", "json", "daemons", statusServer(t, sampleDaemon))
	require.Equal(t, ExitOK, code)
	var got []daemonReport
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	require.Equal(t, &sampleDaemon, got[0].Status)
}

func TestNoDaemonAnswers(t *testing.T) {
	_, errs, code := runCommand(t, "", "daemons", "127.0.0.1:1")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errs, "no daemon answers")
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, errs, code = runCommand(t, "", "daemons", server.Listener.Addr().String())
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errs, "404")
}
