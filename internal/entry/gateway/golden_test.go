package gateway_test

import (
	"flag"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/entry/discovery"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/settings"
	"tamarackchute/membership"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// volatile are the parts of a response that differ from run to run.
var volatile = []struct {
	pattern *regexp.Regexp
	becomes string
}{
	{regexp.MustCompile(`Date: [^\r]*`), "Date: DATE"},
	{regexp.MustCompile(`"created":\d{5,}`), `"created":CREATED`},
	// How events are grouped into HTTP chunks depends on timing.
	{regexp.MustCompile(`\r\n[0-9a-f]+\r\n`), ""},
	{regexp.MustCompile(`id: [A-Za-z0-9_-]+\.`), "id: ORIGIN."},
}

const separator = "\n=== answer ===\n"

// Each file of testdata holds one session of a caller byte for byte: its request and
// the response.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.http")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			sent, want, _ := strings.Cut(string(data), separator)
			got := session(t, sent)
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(sent+separator+got), 0o644))
				return
			}
			require.Equal(t, want, got)
		})
	}
}

// session sends a request and returns the complete response. The files use plain
// line ends, and Content-Length is added.
func session(t *testing.T, sent string) string {
	service := &recordingService{calls: make(chan upstream.ServiceRequest, 1)}
	deps := &fakeDeps{
		engines:  map[string]*fakeEngine{"e1": newEngine(3)},
		services: map[string]upstream.Service{"s1": service},
		byPath: func(path string) rules.Then {
			switch {
			case strings.HasPrefix(path, "/bookings"):
				return rules.Then{Pool: "s"}
			case strings.HasPrefix(path, "/closed"):
				return rules.Then{Refuse: &rules.Refusal{Status: 403, Reason: "the yard is closed"}}
			default:
				return rules.Then{Pool: "p"}
			}
		},
		directory: discovery.New(&settings.Deployment{
			DataCentres: []settings.DataCentre{{Name: "dc"}},
			Instances:   []settings.Instance{{Name: "i1", DataCentre: "dc", Callers: "10.0.0.1:80"}},
			Discovery:   settings.Discovery{TTLSeconds: 5},
		}, settings.Instance{Name: "i1", DataCentre: "dc"}, allLive{}),
	}
	h := newHarness(t, deps, func(o *gateway.Options) { o.Heartbeat = time.Hour })
	conn, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	head, body, _ := strings.Cut(sent, "\n\n")
	if body != "" {
		head += "\nContent-Length: " + itoa(len(body))
	}
	raw := strings.ReplaceAll(head+"\nConnection: close\n\n", "\n", "\r\n") + body
	_, err = io.WriteString(conn, raw)
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	got := string(answer)
	for _, v := range volatile {
		got = v.pattern.ReplaceAllString(got, v.becomes)
	}
	return strings.ReplaceAll(got, "\r\n", "\n")
}

type allLive struct{}

func (allLive) State(string) membership.State { return membership.Live }
