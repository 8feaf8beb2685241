package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/daemonstatus"
)

func TestListQuarantined(t *testing.T) {
	digest := strings.Repeat("a1", 16)
	address := statusServer(t, daemonstatus.Daemon{
		Quarantined: []daemonstatus.Quarantined{{Digest: digest, Crashed: []string{"u1@1", "u2@1"}, RemainingMS: 90_400}},
	})
	out, _, code := runCommand(t, "", "quarantine", "list", address)
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, digest)
	require.Contains(t, out, "1m30s")
	require.Contains(t, out, "u1@1 u2@1")
}

func TestReleaseQuarantined(t *testing.T) {
	var got daemonstatus.Release
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != daemonstatus.ReleasePath || json.NewDecoder(r.Body).Decode(&got) != nil {
			http.Error(w, "bad request", http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	address, digest := server.Listener.Addr().String(), strings.Repeat("a1", 16)
	_, _, code := runCommand(t, "", "quarantine", "release", address, digest, "-operator", "ann", "-reason", "fixed")
	require.Equal(t, ExitOK, code)
	require.Equal(t, daemonstatus.Release{Digest: digest, Operator: "ann", Reason: "fixed"}, got)
	_, _, code = runCommand(t, "", "quarantine", "release", address, "short", "-operator", "ann", "-reason", "fixed")
	require.Equal(t, ExitUsage, code)
	_, _, code = runCommand(t, "", "quarantine", "release", address, digest, "-operator", "ann")
	require.Equal(t, ExitUsage, code)
}
