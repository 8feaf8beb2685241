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

var update = flag.Bool("update", false, "write the golden files anew")

const settingsForm = `{
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

// bench is a deployment of two instances over one log, and a folder of files.
type bench struct {
	t      *testing.T
	folder string
	log    *journaltest.Log
	// stops end each instance's HTTP server.
	stops []func()
	// addresses are those of the HTTP servers, in the same order.
	addresses     []string
	first, second *operatortest.Instance
}

func newBench(t *testing.T) *bench { return newBenchOver(t, journaltest.NewLog()) }

// ownAddress returns a loopback address that other processes don't listen at: one
// of theirs could take the port of an instance that has been stopped, and answer
// in its place.
func ownAddress() string {
	return fmt.Sprintf("127.%d.%d.1:0", 200+rand.IntN(50), rand.IntN(250))
}

func newBenchOver(t *testing.T, log *journaltest.Log) *bench {
	b := &bench{t: t, folder: t.TempDir(), log: log}
	for _, name := range []string{"c1", "c2"} {
		i := operatortest.Start(b.log, name, slog.New(slog.DiscardHandler))
		if b.first == nil {
			b.first = i
		} else {
			b.second = i
		}
		l, err := net.Listen("tcp", ownAddress())
		require.NoError(t, err)
		b.addresses = append(b.addresses, l.Addr().String())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = httpx.Serve(ctx, i.App, l, time.Second) }()
		stop := func() { cancel(); <-ended }
		b.stops = append(b.stops, stop)
		t.Cleanup(func() { stop(); i.Stop() })
	}
	b.write("settings.json", fmt.Sprintf(settingsForm, b.addresses[0], b.addresses[1]))
	b.write("token", operatortest.Token+"\n")
	return b
}

func (b *bench) write(name, content string) {
	require.NoError(b.t, os.WriteFile(filepath.Join(b.folder, name), []byte(content), 0o600))
}

// run runs chutectl; words that end in .json are files of the bench.
func (b *bench) run(line string) (ExitCode, string, string) {
	args := []string{"-settings", filepath.Join(b.folder, "settings.json"), "-timeout", "10s"}
	if !strings.Contains(line, "-token-file") {
		args = append(args, "-token-file", filepath.Join(b.folder, "token"))
	}
	for _, word := range strings.Fields(line) {
		if strings.HasSuffix(word, ".json") {
			word = filepath.Join(b.folder, word)
		}
		args = append(args, word)
	}
	var out, errs bytes.Buffer
	exit := Run(args, Environment{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }})
	require.NotContains(b.t, out.String()+errs.String(), operatortest.Token)
	return exit, out.String(), errs.String()
}

// variable is what differs from run to run.
var variable = []struct {
	form *regexp.Regexp
	by   string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+(Z|[+-]\d\d:\d\d)`), "2026-05-04T03:02:01Z"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`127(\.\d+){3}:\d+`), "ADDRESS"},
	{regexp.MustCompile(`/\S+/(\w+\.json)`), "$1"},
}

func (b *bench) golden(name string, sessions ...string) {
	var got strings.Builder
	for _, line := range sessions {
		exit, out, errs := b.run(line)
		fmt.Fprintf(&got, "$ chutectl %s\n%s%s(exit code %d)\n\n", line, out, errs, exit)
	}
	text := got.String()
	for _, v := range variable {
		text = v.form.ReplaceAllString(text, v.by)
	}
	file := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(b.t, os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(b.t, err)
	require.Equal(b.t, string(want), text, "session %s; run with -update if the change is meant", name)
}

const (
	editedByAnna = `// chutectl: version none
{
  "rules": [
    // Bookings run once.
    {"name": "book", "when": "path == \"/book\"", "then": {"pool": "booking", "protected": true}},
    {"name": "rest", "when": "load < 2", "then": {"pool": "agronomy"}},
  ],
}
`
	editedByBen = `// chutectl: version none
{"rules": [{"name": "rest", "when": "model == \"soil\"", "then": {"pool": "agronomy", "class": "short"}}]}`
	invalid = `// chutectl: version none
{"rules": [
  {"name": "rest", "when": "true", "then": {"pool": "agronomie"}},
  {"name": "late", "when": "strem", "then": {"pool": "booking"}},
]}`
)

func TestSessions(t *testing.T) {
	b := newBench(t)
	b.write("anna.json", editedByAnna)
	b.write("ben.json", editedByBen)
	b.write("invalid.json", invalid)
	b.write("bare.json", `{"rules": []}`)
	b.golden("help", "-h", "rules publish -h", "rules move -h", "claims accept-gap -h")
	b.golden("usage", "", "rule get", "-o xml status", "rules publish", "rules publish bare.json", "rules move book",
		"rules move book -first -last", "rules publish -base x anna.json", "-instance c9 status", "audit -x",
		"claims accept-gap")
	b.golden("publish", "rules get", "rules validate invalid.json", "-o json rules validate -local invalid.json",
		"rules validate anna.json", "rules publish invalid.json", "rules publish -note first anna.json",
		"rules diff ben.json", "rules publish ben.json", "-o json rules publish ben.json", "rules get",
		"rules move book -last", "rules move rest -before book -note back", "rules move gone -first", "rules get",
		"rules publish -base 1.0 bare.json", "rules history -n 3")
	b.golden("lists", "status", "-o json rules get", "-o json status", "audit -n 2", "-o json audit -n 1", "-token-file settings.json status",
		"-token-file settings.json rules get")
}

// A test stops an instance right after its start and finds it answering: the
// stop came before the server had begun to serve, stopped nothing, and the server
// began afterwards. A stopped instance must refuse connections, however early.
func TestStopEndsAServerThatHasJustStarted(t *testing.T) {
	for range 50 {
		b := newBench(t)
		b.stops[0]()
		b.stops[1]()
		for _, address := range b.addresses {
			_, err := net.DialTimeout("tcp", address, time.Second)
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
		}
	}
}

// The first instance is gone, or the log is: chutectl must go on to the next,
// and must not say "not published" of what may be in force.
func TestInstancesFail(t *testing.T) {
	b := newBench(t)
	b.write("anna.json", editedByAnna)
	b.write("ben.json", editedByBen)
	b.stops[0]()
	b.golden("failover", "rules publish anna.json", "-instance c2 rules history", "-instance c1 status")
	b.log.Outage(true)
	b.golden("outage", "rules publish -base 1.0 ben.json")
	b.log.Outage(false)
	b.log.Hang(true)
	b.golden("unknown", "rules publish -base 1.0 ben.json", "-o json rules publish -base 1.0 ben.json")
	b.log.Hang(false)
	b.stops[1]()
	b.golden("down", "rules get", "rules publish anna.json", "status")
}

// The log was in use before the first start, so both instances refuse plain keys.
// The operator accepts the gap, and once it is closed a second try is refused: a
// complete history must not be thrown away. Nor may the gap be accepted while an
// instance that may know more is out of reach.
func TestClaimsSessions(t *testing.T) {
	b := newBenchOver(t, gapped())
	b.golden("claims", "claims status", "claims accept-gap -reason first-start")
	for _, i := range []*operatortest.Instance{b.first, b.second} {
		require.Eventually(t, func() bool { return i.Claims.Stats().Complete }, 5*time.Second, time.Millisecond)
	}
	b.golden("claims-accepted", "claims status", "-o json claims status", "audit -n 1", "claims accept-gap -reason again")
	fresh := newBenchOver(t, gapped())
	fresh.stops[0]()
	fresh.golden("claims-down", "claims status", "claims accept-gap -reason x", "-o json claims accept-gap -reason x -force")
}

// gapped returns a log whose first record has expired.
func gapped() *journaltest.Log {
	log := journaltest.NewLog()
	log.Put([]byte("expired"))
	log.Trim(2)
	return log
}

// The first rule set of each deployment must pass the check that publication
// makes, or the trial script fails at its start.
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
