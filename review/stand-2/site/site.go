// Package site starts a small deployment on loopback addresses for the cases of review/: the real
// daemons as separate processes, with stand-ins of the store, the servers and the clients.
package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackchute/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Ports of each daemon, on an address of its own.
const (
	portFront     = 8144
	portReady     = 8140
	portControl   = 8146
	portDirectory = 8143
	portInternal  = 7660
	portMetrics   = 9464
	storeHost     = 200
	serverHost    = 201
)

const (
	fileMode   = 0o600
	folderMode = 0o755
	// maxRun ends a case that hangs.
	maxRun = 112 * time.Second
)

// Record writes what a case sends, receives and does to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// Logf adds a line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// Settings are what cases set of the daemons' settings.
type Settings struct {
	// Cloud is the address of the platform's calls, empty for none.
	Cloud string
	// WindowS and UsageLateS are those of the usage reports.
	WindowS, UsageLateS int
	StrictRevocation    bool
	RequireFencing      bool
}

// Site is a deployment.
type Site struct {
	*Record
	Store   *standin.Store
	Daemons []*Daemon
	// Trouble is false if the case runs without the disruption.
	Trouble bool

	folder   string
	network  string
	program  string
	settings Settings
	storeURL string
	stopping sync.Once
	// down means that the store is down.
	down atomic.Bool
}

// Run runs a case and exits with its code.
func Run(name string, run func(*Site) (broken bool, err error)) {
	out := os.Getenv("RECORD")
	if out == "" {
		out = "record.txt"
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	folder, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	s := &Site{
		Record: &Record{file: file, began: time.Now()}, Store: standin.NewStore(), folder: folder,
		program: "target/chute-member", Trouble: os.Getenv("TROUBLE") != "0",
	}
	s.Logf("case %s, disruption %t", name, s.Trouble)
	time.AfterFunc(maxRun, func() {
		s.Logf("the case takes too long")
		s.end(Failed)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		s.Logf("stopped by %v", <-stop)
		s.end(Failed)
	}()
	broken, err := run(s)
	switch {
	case err != nil:
		s.Logf("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		s.end(Failed)
	case broken:
		s.Logf("RULE BROKEN")
		s.end(Broken)
	default:
		s.Logf("the rule held")
		s.end(Held)
	}
}

// end kills all daemons and exits.
func (s *Site) end(code int) {
	s.stopping.Do(func() {
		for _, d := range s.Daemons {
			d.shutDown()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(s.folder)
		} else {
			fmt.Println("logs in", s.folder)
		}
		os.Exit(code)
	})
	select {} // another goroutine exits
}

// Start draws a network of loopback addresses, and starts the store. Daemons are started by StartDaemons.
func (s *Site) Start(daemons int, settings Settings) error {
	s.settings = settings
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if s.free(daemons) {
			break
		}
	}
	l, err := s.Listen(storeHost)
	if err != nil {
		return err
	}
	s.storeURL = l.Addr().String()
	go func() { _ = http.Serve(l, s.Store) }()
	for i := range daemons {
		s.Daemons = append(s.Daemons, &Daemon{site: s, Name: fmt.Sprintf("frontend-a-%d", i+1), IP: s.ip(i + 1), Store: s.storeURL})
	}
	return nil
}

// SetCloud sets the address of the platform's calls. Call it before the daemons start.
func (s *Site) SetCloud(address string) { s.settings.Cloud = address }

// StoreAddress returns the address of the store.
func (s *Site) StoreAddress() string { return s.storeURL }

func (s *Site) ip(host int) string { return fmt.Sprintf("%s.%d", s.network, host) }

// Listen returns a listener on a free port of the servers' address, or of another host of the network.
func (s *Site) Listen(host int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(s.ip(host), "0"))
}

// ListenServer returns a listener for a server.
func (s *Site) ListenServer() (net.Listener, error) { return s.Listen(serverHost) }

// heartbeat is the time between two entries of a server.
const heartbeat = 1200 * time.Millisecond

// StoreDown makes the store refuse all calls from now on, or serves them again.
func (s *Site) StoreDown(down bool) {
	s.Logf("the store is down: %t", down)
	s.down.Store(down)
	if down {
		s.Store.Fail(standin.StoreUnavailable)
	} else {
		s.Store.Fail(standin.StoreHealthy)
	}
}

// register writes a server's entry, unless the store is down.
func (s *Site) register(server *standin.Server, service string) {
	if !s.down.Load() {
		s.Store.Register(server, service, server.Address(), false)
	}
}

// Heartbeat writes a server's entry now, and again and again as a sound server does. The returned function ends that.
func (s *Site) Heartbeat(server *standin.Server, service string) (stop func()) {
	s.register(server, service)
	ended := make(chan struct{})
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-ended:
				return
			case <-tick.C:
				s.register(server, service)
			}
		}
	}()
	return sync.OnceFunc(func() { close(ended) })
}

func (s *Site) free(daemons int) bool {
	for i := range daemons {
		for _, port := range []int{portFront, portReady, portControl, portDirectory, portInternal, portInternal + 1, portMetrics} {
			l, err := net.Listen("tcp", address(s.ip(i+1), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// StartDaemons starts all daemons and waits until they are ready.
func (s *Site) StartDaemons() error {
	for _, d := range s.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range s.Daemons {
		if err := d.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	s.Logf("all daemons are ready")
	return nil
}

// Daemon runs the daemon's program, one process after another.
type Daemon struct {
	site     *Site
	Name, IP string
	// Store is the address at which it reaches the store.
	Store string

	mu        sync.Mutex
	cmd       *exec.Cmd
	startedAt time.Time
	done      chan struct{}
	closed    bool
}

// Front returns the address for clients.
func (d *Daemon) Front() string { return address(d.IP, portFront) }

// Start starts a process.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	file := filepath.Join(d.site.folder, d.Name+".toml")
	if err := os.WriteFile(file, []byte(d.settingsFile()), fileMode); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.site.folder, d.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(d.site.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.site.folder, "LANG=C.UTF-8", "TAMARACKCHUTE_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.cmd, d.done, d.startedAt = cmd, done, time.Now()
	d.site.Logf("%s starts as process %d at %s", d.Name, cmd.Process.Pid, d.IP)
	go func() {
		err := cmd.Wait()
		d.site.Logf("%s process %d ended: %v", d.Name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

// StartedAt returns when the latest process was started.
func (d *Daemon) StartedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startedAt
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.site.Logf("%s gets %v", d.Name, sig)
		_ = d.cmd.Process.Signal(sig)
	}
}

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Stop sends SIGTERM, and SIGKILL after the grace, and waits for the end.
func (d *Daemon) Stop(grace time.Duration) {
	d.Signal(syscall.SIGTERM)
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	select {
	case <-done:
	case <-time.After(grace):
		d.Kill()
	}
}

func (d *Daemon) shutDown() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.Kill()
}

// AwaitReady waits until the daemon is ready.
func (d *Daemon) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + address(d.IP, portReady) + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(d.Name + " isn't ready")
}

func (d *Daemon) settingsFile() string {
	var seeds []string
	for _, other := range d.site.Daemons[:min(3, len(d.site.Daemons))] {
		seeds = append(seeds, fmt.Sprintf("%q", address(other.IP, portControl)))
	}
	c := d.site.settings
	text := fmt.Sprintf(`Node = %q
Role = "member"
MachineClass = "frontend"
Serves = ["frontend","directory"]
Ip = %q
Zone = "a"
Region = "r"
InternalPorts = [%d,%d]
Seeds = [%s]
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
[Zones]
a = "r"
[Listen]
Front = %q
Ready = %q
Control = %q
Directory = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
PartitionMaxMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 54
RecoverS = 12
TransitMs = 120
RetryAfterS = 3.9
RequireFencing = %t
LeaseMs = 3000
ThawSlackMs = 300
ttl_max_s = 5
`, d.Name, d.IP, portInternal, portInternal+15, strings.Join(seeds, ","), d.Front(), address(d.IP, portReady), address(d.IP, portControl), address(d.IP, portDirectory), c.RequireFencing)
	if c.StrictRevocation {
		text += "StrictRevocation = true\nRevokeMs = 5000\n"
	}
	if c.Cloud != "" {
		text += fmt.Sprintf("WindowS = %d\nUsageOff = 0.05\nUsageLateS = %d\n", c.WindowS, c.UsageLateS)
	}
	text += fmt.Sprintf(`[Platform]
Address = %q
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 24
AppendMs = 1.0
PartitionMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
`, d.Store)
	if c.Cloud != "" {
		text += fmt.Sprintf("[Cloud]\nAddress = %q\nDuties = [\"usage\"]\nDutyPerS = 50.0\n", c.Cloud)
	}
	return text
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Client sends requests as the clients of the pages do.
type Client struct{ client *http.Client }

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Send sends a request and reads its answer.
func (c *Client) Send(ctx context.Context, front, method, path, id string, deadline time.Duration, headers ...string) Answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, body)
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = standin.RuleHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(text), Err: err}
}
