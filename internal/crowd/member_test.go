package crowd

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/platform/standin"
)

const (
	memberMemoryMb = 120
	memberMaxFds   = 1000

	host = "crowd.example"
)

// Guards against clients that end a daemon by memory or descriptors, or keep ordinary callers from being served.
func TestCrowdStaysWithinTheDaemonsLimits(t *testing.T) {
	program := build(t, "chute-member")
	for _, f := range forms {
		t.Run(f.name, func(t *testing.T) {
			p, address, _ := startMember(t, program, memberMemoryMb, memberMaxFds)
			requireMemberServes(t, address, "a large request in calm", large)
			f.gather(t, p, address, "POST /app/x HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n")
			requireMemberServes(t, address, "an ordinary request beside the crowd", 1000)
			p.requireWithin(memberMemoryMb*1e6, memberMaxFds)
		})
	}
}

// Guards against memory that one crowd leaves taken for the next one.
func TestCrowdsOneAfterTheOtherStayWithinTheDaemonsLimits(t *testing.T) {
	p, address, _ := startMember(t, build(t, "chute-member"), memberMemoryMb, memberMaxFds)
	requireMemberServes(t, address, "an ordinary request in calm", 1000)
	for _, f := range forms {
		leave := f.gather(t, p, address, "POST /app/x HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n")
		requireMemberServes(t, address, "an ordinary request beside "+f.name, 1000)
		p.requireWithin(memberMemoryMb*1e6, memberMaxFds)
		leave()
	}
	requireMemberServes(t, address, "a large request after the crowds", large)
}

// Guards against limits that stay those of the start when the settings lower them.
func TestCrowdStaysWithinLoweredLimits(t *testing.T) {
	p, address, lower := startMember(t, build(t, "chute-member"), 4*memberMemoryMb, 4*memberMaxFds)
	requireMemberServes(t, address, "an ordinary request in calm", 1000)
	lower(memberMemoryMb, memberMaxFds)
	for _, f := range forms {
		if f.clients > memberMaxFds {
			leave := f.gather(t, p, address, "POST /app/x HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n")
			requireMemberServes(t, address, "an ordinary request beside "+f.name, 1000)
			p.requireWithin(memberMemoryMb*1e6, memberMaxFds)
			leave()
		}
	}
}

func build(t *testing.T, name string) string {
	program := filepath.Join(t.TempDir(), name)
	out, err := exec.Command("go", "build", "-o", program, "tamarackchute/cmd/"+name).CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

// startMember starts a daemon with a store and a server, and returns it, its address for callers, and a function that
// changes its limits.
func startMember(t *testing.T, program string, memoryMb, maxFds int) (*process, string, func(memoryMb, maxFds int)) {
	ip := fmt.Sprintf("127.%d.%d.1", 20+rand.IntN(200), rand.IntN(250))
	store := standin.NewStore()
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	storeServer := &http.Server{Handler: store}
	go func() { _ = storeServer.Serve(l) }()
	server := standin.NewServer("a")
	t.Cleanup(func() {
		store.Close()
		_ = storeServer.Close()
		server.Close()
	})
	store.PutJSON("keyed.servers", server.ID, map[string]any{
		"Service": "app", "Address": server.Address(), "Zone": "d", "Version": "v1", "Slots": 32, "State": "ready",
		"ColdRemainingMs": 0, "Seq": 0, "born": time.Now().UnixMilli(),
	})
	store.PutJSON("keyed.op", "config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "app", "Host": host, "PathPrefix": "/app/", "Type": "idempotent", "TimeoutMs": 60000, "TargetLatencyMs": 1000,
			"Priority": 2, "Service": "app", "MaxAttempts": 2, "Sticky": false, "Resumable": false,
		}},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": large, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	d := standin.Daemon{
		Name: "a", IP: ip, Seeds: []string{ip}, Store: l.Addr().String(), Grace: 8 * time.Second, MemoryMb: memoryMb, MaxFds: maxFds,
		RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second, LeaseTerm: 3 * time.Second,
	}
	settings := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(settings, []byte(d.SettingsFile()), 0o600))
	p := start(t, program, "-settings", settings)
	return p, d.Callers(), func(memoryMb, maxFds int) {
		d.MemoryMb, d.MaxFds = memoryMb, maxFds
		require.NoError(t, os.WriteFile(settings, []byte(d.SettingsFile()), 0o600))
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool {
			log, err := os.ReadFile(p.log)
			return err == nil && bytes.Contains(log, []byte("settings reloaded"))
		}, answerTimeout, settlePause)
	}
}

// requireMemberServes requires that a request with a body of some size is served.
func requireMemberServes(t *testing.T, address, name string, size int) {
	t.Helper()
	body := strings.Repeat("y", size)
	requireAnswered(t, name, func() *http.Request {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/app/x", bytes.NewReader([]byte(body)))
		require.NoError(t, err)
		req.Host = host
		req.Header.Set("X-Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
		req.Header.Set("X-Deadline-Ms", "5000")
		return req
	}, func(resp *http.Response, _ []byte) bool { return resp.StatusCode == http.StatusOK })
}
