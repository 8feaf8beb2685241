package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/logclient"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/wire"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/orders"
)

// waitTimeout bounds every wait; it is not what the tests measure.
const waitTimeout = 60 * time.Second

// cluster is one data centre: stand-ins within the test, controllers as processes, and
// entries that have no requests and report the demand set by setDemand.
type cluster struct {
	t        testing.TB
	d        *settings.Deployment
	file     string
	binary   string
	list     *standin.List
	log      *standin.Log
	engines  map[string]*standin.Engine
	running  map[string]*exec.Cmd
	journal  *journal.Journal
	leases   *lease.View
	changes  *orders.View
	statuses *wire.Links

	// actual describes the stand-ins where they differ from the settings.
	actual *settings.Deployment

	mu     sync.Mutex
	demand []wire.ModelDemand
}

// firstPort is the lowest port that tests use.
const firstPort = 10000

// portsUsed is the number of ports that this process has handed out.
var portsUsed atomic.Int64

// nextAddress returns an address that no other test or process uses: a loopback address of
// this process's own, with a port that it hasn't handed out before.
func nextAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 32+pid>>16&31, pid>>8&255, pid&255, firstPort+portsUsed.Add(1))
}

// deployment returns a data centre with three instances and one engine per given kind of
// fencing.
func deployment(t testing.TB, kinds ...settings.Fencing) *settings.Deployment {
	d := settings.Defaults()
	d.Name = "test"
	d.DataCentres = []settings.DataCentre{{Name: "a"}}
	d.Links = []settings.Link{}
	for i := range 3 {
		d.Instances = append(d.Instances, settings.Instance{
			Name: fmt.Sprintf("i%d", i+1), DataCentre: "a",
			Callers: nextAddress(), Operators: nextAddress(), Peers: nextAddress(),
			ControllerOperators: nextAddress(), ControllerPeers: nextAddress(),
		})
	}
	for i, f := range kinds {
		d.Upstreams = append(d.Upstreams, settings.Upstream{
			Name: fmt.Sprintf("e%d", i+1), Kind: settings.KindEngine, DataCentre: "a",
			Address: nextAddress(), Pool: "p", Models: []string{"m"}, Fencing: f, Role: "mixed",
		})
	}
	d.Platform.Log, d.Platform.Instances, d.Platform.Weights = nextAddress(), nextAddress(), nextAddress()
	d.Roles.ChangeSeconds, d.Roles.DwellSeconds, d.Roles.MaxAtOnce = 0.4, 1, 2
	d.Security.PeerSecretFile = "peer.secret"
	d.Security.Operators = []settings.Operator{}
	return &d
}

// start starts a data centre with its controllers. Lease terms are short, to save time.
func start(t testing.TB, kinds ...settings.Fencing) *cluster {
	d := deployment(t, kinds...)
	d.Lease.TermSeconds, d.Lease.RenewSeconds = 1.2, 0.4
	return startWith(t, d, d)
}

// startWith starts the controllers with the settings d and the stand-ins as described by
// actual.
func startWith(t testing.TB, d, actual *settings.Deployment) *cluster {
	c := &cluster{
		t: t, d: d, actual: actual, engines: map[string]*standin.Engine{}, running: map[string]*exec.Cmd{},
		leases: lease.NewView(),
	}
	dir := t.TempDir()
	c.file = filepath.Join(dir, "settings.json")
	require.NoError(t, os.WriteFile(c.file, settingsDocument(t, c.d), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "peer.secret"), []byte("0123456789abcdef0123"), 0o600))
	c.binary = filepath.Join(dir, "chute-controller")
	out, err := exec.Command("go", "build", "-o", c.binary, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	c.serveStandins()
	c.followJournal()
	t.Cleanup(c.killAll)
	for _, in := range c.d.Instances {
		c.launch(in.Name)
	}
	return c
}

// settingsDocument encodes a deployment as a settings file. Lists that aren't set must be
// absent.
func settingsDocument(t testing.TB, d *settings.Deployment) []byte {
	doc, err := json.Marshal(d)
	require.NoError(t, err)
	return regexp.MustCompile(`"\w+":null,?`).ReplaceAll(doc, nil)
}

func (c *cluster) serveStandins() {
	speed := standin.DefaultSpeed()
	speed.ChangeDuration = 400 * time.Millisecond
	speed.LoadLag = 100 * time.Millisecond
	set, err := standin.NewSet(standin.Config{
		Deployment: c.actual, LogAppendsPerSecond: 300, ListLag: 500 * time.Millisecond,
		WeightBytes: 1 << 20, Speed: speed,
	})
	require.NoError(c.t, err)
	for _, p := range set.Components() {
		switch part := p.(type) {
		case *standin.Engine:
			c.engines[part.Name()] = part
		case *standin.List:
			c.list = part
		case *standin.Log:
			c.log = part
		}
	}
	c.background(set.Serve)
}

// background runs a service until the test ends.
func (c *cluster) background(serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = serve(ctx) })
	c.t.Cleanup(func() { cancel(); wg.Wait() })
}

// followJournal reads the journal and sends the entries' statuses.
func (c *cluster) followJournal() {
	quiet := slog.New(slog.DiscardHandler)
	c.journal = journal.New(logclient.New(c.d.Platform.Log, httpx.Options{}), journal.Config{Logger: quiet})
	c.changes = orders.NewView(c.leases)
	c.journal.Register(journal.KindLease, c.leases)
	c.journal.Register(journal.KindOrder, c.changes)
	c.background(c.journal.Serve)
	cfg := wire.Config{Name: "test/entry", Secret: []byte("0123456789abcdef0123")}
	c.statuses = wire.NewLinks("statuses", cfg, nil, quiet)
	c.background(c.statuses.Serve)
	c.background(c.reportStatuses)
}

// reportStatuses sends a status of each entry instance to each controller.
func (c *cluster) reportStatuses(ctx context.Context) error {
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		applied := c.journal.Applied()
		c.mu.Lock()
		demand := c.demand
		c.mu.Unlock()
		for _, from := range c.d.Instances {
			for _, to := range c.d.Instances {
				c.statuses.Send(to.ControllerPeers, wire.EntryStatus{
					Instance: from.Name, DataCentre: from.DataCentre, Incarnation: 1, Seq: seq,
					Applied: applied, Demand: demand, At: time.Now(),
				})
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// setDemand sets the demand that the entries report, which makes the policy change roles.
func (c *cluster) setDemand(prompt, output float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand = []wire.ModelDemand{{
		Model: "m", PromptTokensPerSec: prompt, OutputTokensPerSec: output, RequestsPerSec: 10,
	}}
}

func (c *cluster) launch(instance string) {
	cmd := exec.Command(c.binary, "-settings", c.file, "-instance", instance)
	cmd.Stderr = c.t.Output()
	require.NoError(c.t, cmd.Start())
	c.running[instance] = cmd
}

// signal sends a signal to an instance's controller.
func (c *cluster) signal(instance string, s syscall.Signal) {
	require.NoError(c.t, c.running[instance].Process.Signal(s))
}

// kill kills an instance's controller and waits for its end.
func (c *cluster) kill(instance string) {
	cmd := c.running[instance]
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	delete(c.running, instance)
}

func (c *cluster) killAll() {
	for instance := range c.running {
		c.kill(instance)
	}
}

// removeFromList removes an instance from the platform's list.
func (c *cluster) removeFromList(instance string) {
	require.NoError(c.t, c.list.SetFaults([]byte(fmt.Sprintf(`{"remove":[%q]}`, instance))))
}

// addToList adds an instance to the platform's list.
func (c *cluster) addToList(instance string) {
	row := `{"add":[{"name":%q,"kind":"entry","data_centre":"a"}]}`
	require.NoError(c.t, c.list.SetFaults([]byte(fmt.Sprintf(row, instance))))
}

// waitFor waits until a condition on the journal's state holds.
func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	require.Eventually(c.t, ok, waitTimeout, 5*time.Millisecond, what)
}

// waitForLeader waits for a term with a fencing token above after and returns the scope's
// state.
func (c *cluster) waitForLeader(scope string, after uint64) lease.ScopeState {
	c.t.Helper()
	c.waitFor("a leader", func() bool {
		s := c.leases.Scope(scope)
		return s.Held && s.FencingToken > after
	})
	return c.leases.Scope(scope)
}
