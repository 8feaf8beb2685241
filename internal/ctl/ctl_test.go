package ctl

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/operator/api"
	"tamarackchute/internal/operator/operatortest"
	"tamarackchute/internal/settings"
	"tamarackchute/journal/journaltest"
	"tamarackchute/rules"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const settingsTemplate = `{
  "name": "test",
  "data_centres": [{"name": "cesis-a"}],
  "instances": [
    {"name": "c1", "data_centre": "cesis-a", "callers": "127.0.0.1:1", "operators": "%s",
     "peers": "127.0.0.1:2", "controller_operators": "127.0.0.1:3", "controller_peers": "127.0.0.1:4"},
    {"name": "c2", "data_centre": "cesis-a", "callers": "127.0.0.1:5", "operators": "%s",
     "peers": "127.0.0.1:6", "controller_operators": "127.0.0.1:7", "controller_peers": "127.0.0.1:8"},
  ],
  "upstreams": [
    {"name": "e1", "kind": "engine", "data_centre": "cesis-a", "address": "127.0.0.1:9", "pool": "agronomy",
     "models": ["soil"], "fencing": "checked", "role": "mixed"},
    {"name": "s1", "kind": "service", "data_centre": "cesis-a", "address": "127.0.0.1:10", "pool": "booking"},
  ],
  "platform": {"log": "127.0.0.1:11", "instances": "127.0.0.1:12", "weights": "127.0.0.1:13"},
  "security": {"peer_secret_file": "peer.secret"},
}`

// fixture is a deployment of two instances that share one log, with a directory for
// settings, token and rule files.
type fixture struct {
	t   *testing.T
	dir string
	log *journaltest.Log
	// stopServers holds a function per instance that stops its HTTP server.
	stopServers []func()
	// addresses holds the addresses of the HTTP servers in the same order.
	addresses     []string
	first, second *operatortest.Instance
}

func newFixture(t *testing.T) *fixture { return newFixtureWithLog(t, journaltest.NewLog()) }

// unusedAddress returns a loopback address that other processes are unlikely to use.
// Otherwise another process could get the port of a stopped instance and answer in its
// place.
func unusedAddress() string {
	return fmt.Sprintf("127.%d.%d.1:0", 200+rand.IntN(50), rand.IntN(250))
}

func newFixtureWithLog(t *testing.T, log *journaltest.Log) *fixture {
	f := &fixture{t: t, dir: t.TempDir(), log: log}
	for _, name := range []string{"c1", "c2"} {
		i := operatortest.Start(f.log, name, slog.New(slog.DiscardHandler))
		if f.first == nil {
			f.first = i
		} else {
			f.second = i
		}
		l, err := net.Listen("tcp", unusedAddress())
		require.NoError(t, err)
		f.addresses = append(f.addresses, l.Addr().String())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = httpx.Serve(ctx, i.App, l, time.Second) }()
		stop := func() { cancel(); <-done }
		f.stopServers = append(f.stopServers, stop)
		t.Cleanup(func() { stop(); i.Stop() })
	}
	f.write("settings.json", fmt.Sprintf(settingsTemplate, f.addresses[0], f.addresses[1]))
	f.write("token", operatortest.Token+"\n")
	return f
}

func (f *fixture) write(name, content string) {
	require.NoError(f.t, os.WriteFile(filepath.Join(f.dir, name), []byte(content), 0o600))
}

// run runs chutectl; words that end in .json are files in the fixture's directory.
func (f *fixture) run(line string) (ExitCode, string, string) {
	args := []string{"-settings", filepath.Join(f.dir, "settings.json"), "-timeout", "10s"}
	if !strings.Contains(line, "-token-file") {
		args = append(args, "-token-file", filepath.Join(f.dir, "token"))
	}
	for _, word := range strings.Fields(line) {
		if strings.HasSuffix(word, ".json") {
			word = filepath.Join(f.dir, word)
		}
		args = append(args, word)
	}
	var out, errs bytes.Buffer
	exit := Run(args, Environment{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }})
	require.NotContains(f.t, out.String()+errs.String(), operatortest.Token)
	return exit, out.String(), errs.String()
}

// volatileText lists patterns of output that differs between runs, with their
// replacements in golden files.
var volatileText = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+(Z|[+-]\d\d:\d\d)`), "2026-05-04T03:02:01Z"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`127(\.\d+){3}:\d+`), "ADDRESS"},
	{regexp.MustCompile(`/\S+/(\w+\.json)`), "$1"},
}

// golden runs the command lines and compares their output and exit codes with a
// golden file.
func (f *fixture) golden(name string, commandLines ...string) {
	var got strings.Builder
	for _, line := range commandLines {
		exit, out, errs := f.run(line)
		fmt.Fprintf(&got, "$ chutectl %s\n%s%s(exit code %d)\n\n", line, out, errs, exit)
	}
	text := got.String()
	for _, v := range volatileText {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	file := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(f.t, os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(f.t, err)
	require.Equal(f.t, string(want), text, "session %s; run with -update if the change is intended", name)
}

const (
	annasRules = `// chutectl: version none
{
  "rules": [
    // Bookings run once.
    {"name": "book", "when": "path == \"/book\"", "then": {"pool": "booking", "protected": true}},
    {"name": "rest", "when": "load < 2", "then": {"pool": "agronomy"}},
  ],
}
`
	bensRules = `// chutectl: version none
{"rules": [{"name": "rest", "when": "model == \"soil\"", "then": {"pool": "agronomy", "class": "short"}}]}`
	invalidRules = `// chutectl: version none
{"rules": [
  {"name": "rest", "when": "true", "then": {"pool": "agronomie"}},
  {"name": "late", "when": "strem", "then": {"pool": "booking"}},
]}`
)

func TestCommandOutput(t *testing.T) {
	f := newFixture(t)
	f.write("anna.json", annasRules)
	f.write("ben.json", bensRules)
	f.write("invalid.json", invalidRules)
	f.write("bare.json", `{"rules": []}`)
	f.golden("help", "-h", "rules publish -h", "rules move -h", "claims accept-gap -h")
	f.golden("usage", "", "rule get", "-o xml status", "rules publish", "rules publish bare.json", "rules move book",
		"rules move book -first -last", "rules publish -base x anna.json", "-instance c9 status", "audit -x",
		"claims accept-gap")
	f.golden("publish", "rules get", "rules validate invalid.json", "-o json rules validate -local invalid.json",
		"rules validate anna.json", "rules publish invalid.json", "rules publish -note first anna.json",
		"rules diff ben.json", "rules publish ben.json", "-o json rules publish ben.json", "rules get",
		"rules move book -last", "rules move rest -before book -note back", "rules move gone -first", "rules get",
		"rules publish -base 1.0 bare.json", "rules history -n 3")
	f.golden("lists", "status", "-o json rules get", "-o json status", "audit -n 2", "-o json audit -n 1", "-token-file settings.json status",
		"-token-file settings.json rules get")
}

// A stop that comes before the server has begun to serve could have no effect, and
// the server would start afterwards. A stopped instance must refuse connections, even
// if it is stopped right after its start.
func TestStopRightAfterStart(t *testing.T) {
	for range 50 {
		f := newFixture(t)
		f.stopServers[0]()
		f.stopServers[1]()
		for _, address := range f.addresses {
			_, err := net.DialTimeout("tcp", address, time.Second)
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
		}
	}
}

// With an instance or the log unavailable, chutectl must try the next instance, and
// must not print "not published" for a publication that may be in force.
func TestInstanceAndLogFailures(t *testing.T) {
	f := newFixture(t)
	f.write("anna.json", annasRules)
	f.write("ben.json", bensRules)
	f.stopServers[0]()
	f.golden("failover", "rules publish anna.json", "-instance c2 rules history", "-instance c1 status")
	f.log.Outage(true)
	f.golden("outage", "rules publish -base 1.0 ben.json")
	f.log.Outage(false)
	f.log.Hang(true)
	f.golden("unknown", "rules publish -base 1.0 ben.json", "-o json rules publish -base 1.0 ben.json")
	f.log.Hang(false)
	f.stopServers[1]()
	f.golden("down", "rules get", "rules publish anna.json", "status")
}

// The log was in use before the first start, so both instances refuse plain keys until
// the operator accepts the gap. Accepting again is refused, as it would discard a
// complete history, and so is accepting without -force while an instance that may
// have the complete history is unreachable.
func TestAcceptGap(t *testing.T) {
	f := newFixtureWithLog(t, logWithGap())
	f.golden("claims", "claims status", "claims accept-gap -reason first-start")
	for _, i := range []*operatortest.Instance{f.first, f.second} {
		require.Eventually(t, func() bool { return i.Claims.Stats().Complete }, 5*time.Second, time.Millisecond)
	}
	f.golden("claims-accepted", "claims status", "-o json claims status", "audit -n 1", "claims accept-gap -reason again")
	partial := newFixtureWithLog(t, logWithGap())
	partial.stopServers[0]()
	partial.golden("claims-down", "claims status", "claims accept-gap -reason x", "-o json claims accept-gap -reason x -force")
}

// logWithGap returns a log whose first record has expired.
func logWithGap() *journaltest.Log {
	log := journaltest.NewLog()
	log.Put([]byte("expired"))
	log.Trim(2)
	return log
}

// The initial rules of each deployment must pass the validation of a publication;
// otherwise the trial script fails at its start.
func TestSampleRulesAreValid(t *testing.T) {
	for _, name := range []string{"kalku-rinda", "regnbrunnur"} {
		folder := filepath.Join("..", "..", "deploy", name)
		d, err := settings.Load(filepath.Join(folder, "settings.json"))
		require.NoError(t, err)
		document, err := os.ReadFile(filepath.Join(folder, "rules.json"))
		require.NoError(t, err)
		_, err = rules.Parse(document, api.KnownNames(d))
		require.NoError(t, err)
	}
}
