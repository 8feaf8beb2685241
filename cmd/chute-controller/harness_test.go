package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
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

// patience bounds the wait for anything; it isn't what is tested.
const patience = 60 * time.Second

// cluster is one data centre: stand-ins within the test, controllers as
// processes, and an entry that has no work and asks for what demand says.
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

	// real is what the stand-ins are, if not what the settings say.
	real *settings.Deployment

	mu     sync.Mutex
	demand []wire.ModelDemand
}

// ports hands out free addresses, all different.
type ports struct {
	t    testing.TB
	held []net.Listener
}

func (p *ports) next() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(p.t, err)
	p.held = append(p.held, l)
	return l.Addr().String()
}

func (p *ports) free() {
	for _, l := range p.held {
		_ = l.Close()
	}
}

// deployment has one data centre with three instances and an engine of each
// kind that is named.
func deployment(t testing.TB, kinds ...settings.Fencing) *settings.Deployment {
	free := &ports{t: t}
	defer free.free()
	d := settings.Defaults()
	d.Name = "test"
	d.DataCentres = []settings.DataCentre{{Name: "a"}}
	d.Links = []settings.Link{}
	for i := range 3 {
		d.Instances = append(d.Instances, settings.Instance{
			Name: fmt.Sprintf("i%d", i+1), DataCentre: "a",
			Callers: free.next(), Operators: free.next(), Peers: free.next(),
			ControllerOperators: free.next(), ControllerPeers: free.next(),
		})
	}
	for i, f := range kinds {
		d.Upstreams = append(d.Upstreams, settings.Upstream{
			Name: fmt.Sprintf("e%d", i+1), Kind: settings.KindEngine, DataCentre: "a",
			Address: free.next(), Pool: "p", Models: []string{"m"}, Fencing: f, Role: "mixed",
		})
	}
	d.Platform.Log, d.Platform.Instances, d.Platform.Weights = free.next(), free.next(), free.next()
	d.Roles.ChangeSeconds, d.Roles.DwellSeconds, d.Roles.MaxAtOnce = 0.4, 1, 2
	d.Security.PeerSecretFile = "peer.secret"
	d.Security.Operators = []settings.Operator{}
	return &d
}

// start brings a data centre up, with its controllers. Its terms are short, to
// spare time.
func start(t testing.TB, kinds ...settings.Fencing) *cluster {
	d := deployment(t, kinds...)
	d.Lease.TermSeconds, d.Lease.RenewSeconds = 1.2, 0.4
	return startWith(t, d, d)
}

// startWith takes what the settings say and what the stand-ins really are.
func startWith(t testing.TB, d, real *settings.Deployment) *cluster {
	c := &cluster{
		t: t, d: d, real: real, engines: map[string]*standin.Engine{}, running: map[string]*exec.Cmd{},
		leases: lease.NewView(),
	}
	dir := t.TempDir()
	c.file = filepath.Join(dir, "settings.json")
	require.NoError(t, os.WriteFile(c.file, document(t, c.d), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "peer.secret"), []byte("0123456789abcdef0123"), 0o600))
	c.binary = filepath.Join(dir, "chute-controller")
	out, err := exec.Command("go", "build", "-o", c.binary, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	c.serveStandins()
	c.follow()
	t.Cleanup(c.killAll)
	for _, in := range c.d.Instances {
		c.launch(in.Name)
	}
	return c
}

// document writes a deployment as a settings file. A list that isn't set must
// not be in it.
func document(t testing.TB, d *settings.Deployment) []byte {
	doc, err := json.Marshal(d)
	require.NoError(t, err)
	return regexp.MustCompile(`"\w+":null,?`).ReplaceAll(doc, nil)
}

func (c *cluster) serveStandins() {
	speed := standin.DefaultSpeed()
	speed.ChangeDuration = 400 * time.Millisecond
	speed.LoadLag = 100 * time.Millisecond
	set, err := standin.NewSet(standin.Config{
		Deployment: c.real, LogAppendsPerSecond: 300, ListLag: 500 * time.Millisecond,
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

// follow reads the journal and sends the entries' statuses.
func (c *cluster) follow() {
	quiet := slog.New(slog.DiscardHandler)
	c.journal = journal.New(logclient.New(c.d.Platform.Log, httpx.Options{}), journal.Config{Logger: quiet})
	c.changes = orders.NewView(c.leases)
	c.journal.Register(journal.KindLease, c.leases)
	c.journal.Register(journal.KindOrder, c.changes)
	c.background(c.journal.Serve)
	cfg := wire.Config{Name: "test/entry", Secret: []byte("0123456789abcdef0123")}
	c.statuses = wire.NewLinks("statuses", cfg, nil, quiet)
	c.background(c.statuses.Serve)
	c.background(c.tell)
}

// tell sends a status of each entry instance to each controller.
func (c *cluster) tell(ctx context.Context) error {
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

// want makes the entries report a demand that calls for other roles.
func (c *cluster) want(prompt, output float64) {
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

// signal sends a signal to the controller of an instance.
func (c *cluster) signal(instance string, s syscall.Signal) {
	require.NoError(c.t, c.running[instance].Process.Signal(s))
}

// kill ends the controller of an instance and waits for its end.
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

// unlist takes an instance off the platform's list.
func (c *cluster) unlist(instance string) {
	require.NoError(c.t, c.list.SetFaults([]byte(fmt.Sprintf(`{"remove":[%q]}`, instance))))
}

// relist puts an instance on the platform's list again.
func (c *cluster) relist(instance string) {
	row := `{"add":[{"name":%q,"kind":"entry","data_centre":"a"}]}`
	require.NoError(c.t, c.list.SetFaults([]byte(fmt.Sprintf(row, instance))))
}

// until waits for a condition on what the journal says.
func (c *cluster) until(what string, ok func() bool) {
	c.t.Helper()
	require.Eventually(c.t, ok, patience, 5*time.Millisecond, what)
}

// leader waits for a term after a fencing number and returns its state.
func (c *cluster) leader(scope string, after uint64) lease.ScopeState {
	c.t.Helper()
	c.until("a leader", func() bool {
		s := c.leases.Scope(scope)
		return s.Held && s.FencingToken > after
	})
	return c.leases.Scope(scope)
}
