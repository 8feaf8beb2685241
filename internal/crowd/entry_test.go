package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// entryMemoryLimit is the runtime's limit, entryMemory the memory of the machine, in bytes.
	entryMemoryLimit = 100 << 20
	entryMemory      = 160e6
	entryDescriptors = 1000

	entryAddress = "127.93.1.1:8080"
)

// Guards against clients that end an instance by memory or descriptors, or keep ordinary callers from being answered.
func TestCrowdStaysWithinTheEntrysLimits(t *testing.T) {
	standin, entry := build(t, "chute-standin"), build(t, "chute-entry")
	settings := entrySettings(t)
	start(t, standin, "-settings", settings, "-only", "platform")
	for _, f := range forms {
		t.Run(f.name, func(t *testing.T) {
			p := startEntry(t, entry, settings)
			requireEntryAnswers(t, "a large request in calm", large-100)
			f.gather(t, p, entryAddress, "POST /v1/completions HTTP/1.1\r\nHost: crowd\r\n")
			requireEntryAnswers(t, "an ordinary request beside the crowd", 1000)
			p.requireWithin(entryMemory, entryDescriptors)
		})
	}
}

// Guards against memory that one crowd leaves taken for the next one.
func TestCrowdsOneAfterTheOtherStayWithinTheEntrysLimits(t *testing.T) {
	settings := entrySettings(t)
	start(t, build(t, "chute-standin"), "-settings", settings, "-only", "platform")
	p := startEntry(t, build(t, "chute-entry"), settings)
	requireEntryAnswers(t, "an ordinary request in calm", 1000)
	for _, f := range forms {
		leave := f.gather(t, p, entryAddress, "POST /v1/completions HTTP/1.1\r\nHost: crowd\r\n")
		requireEntryAnswers(t, "an ordinary request beside "+f.name, 1000)
		p.requireWithin(entryMemory, entryDescriptors)
		leave()
	}
	requireEntryAnswers(t, "a large request after the crowds", large-100)
}

// startEntry starts an instance on a machine with little memory and few descriptors.
func startEntry(t *testing.T, program, settings string) *process {
	t.Helper()
	t.Setenv("GOMEMLIMIT", fmt.Sprint(entryMemoryLimit))
	return start(t, "/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s -settings %s -instance entry-a-1", entryDescriptors, program, settings))
}

// entrySettings writes the settings of one instance.
func entrySettings(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../entry/entrybench/settings.json")
	require.NoError(t, err)
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "peer.secret"), []byte(strings.Repeat("c", 32)), 0o600))
	own := strings.NewReplacer("TOKEN_SHA256", strings.Repeat("0", 64), "127.13.", "127.93.").Replace(string(text))
	file := filepath.Join(folder, "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(own), 0o600))
	return file
}

// requireEntryAnswers requires that a request with a body of some size is read and answered.
func requireEntryAnswers(t *testing.T, name string, size int) {
	t.Helper()
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": strings.Repeat("y", size), "max_tokens": 8})
	require.NoError(t, err)
	requireAnswered(t, name, func() *http.Request {
		req, err := http.NewRequest(http.MethodPost, "http://"+entryAddress+"/v1/completions", bytes.NewReader(body))
		require.NoError(t, err)
		return req
	}, func(resp *http.Response, body []byte) bool {
		return resp.StatusCode != http.StatusRequestTimeout && resp.StatusCode != http.StatusRequestEntityTooLarge && !strings.Contains(string(body), "overloaded")
	})
	requireAnswered(t, name, func() *http.Request {
		req, err := http.NewRequest(http.MethodGet, "http://"+entryAddress+"/v1/where", nil)
		require.NoError(t, err)
		return req
	}, func(resp *http.Response, _ []byte) bool { return resp.StatusCode == http.StatusOK })
}
