// Package kit runs small sites of the users' platform for the cases of the review: daemons and servers as
// processes of their own, the platform's store, and clients, all on loopback addresses.
package kit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarackchute/platform/standin"
)

// Ports of each daemon, as in the example of the users' pages.
const (
	portFront     = 8144
	portReady     = 8140
	portControl   = 8146
	portDirectory = 8143
	portInternal  = 7660
)

// HeartbeatMs is the interval at which servers write their entries.
const HeartbeatMs = 1200

// Site is a running site.
type Site struct {
	Dir     string
	Network string
	Store   *standin.Store
	Record  *Record
	Daemons []*Daemon

	storeAddress string
	storeServer  *http.Server
	mu           sync.Mutex
	servers      []*Server
	started      int
}

// NewSite starts the store and prepares n daemons, which aren't started yet.
func NewSite(record *Record, n int) (*Site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &Site{Dir: dir, Store: standin.NewStore(), Record: record}
	var l net.Listener
	for range 50 {
		s.Network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if l, err = net.Listen("tcp", s.Network+".200:0"); err == nil && s.free(n) {
			break
		}
		if l != nil {
			_ = l.Close()
			l = nil
		}
	}
	if l == nil {
		return nil, fmt.Errorf("no free network: %v", err)
	}
	s.storeAddress = l.Addr().String()
	s.storeServer = &http.Server{Handler: s.Store}
	go func() { _ = s.storeServer.Serve(l) }()
	go s.closeOnSignal()
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", s.address(i, portControl)))
	}
	for i := range n {
		d := &Daemon{site: s, Name: fmt.Sprintf("frontend-a-%d", i+1), number: i}
		d.settings = filepath.Join(dir, d.Name+".toml")
		if err := os.WriteFile(d.settings, []byte(s.settings(i, strings.Join(seeds, ","), s.storeAddress)), 0o600); err != nil {
			return nil, err
		}
		s.Daemons = append(s.Daemons, d)
	}
	return s, nil
}

// closeOnSignal ends all processes if this one is told to stop.
func (s *Site) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	s.Close()
	os.Exit(2)
}

func (s *Site) free(n int) bool {
	for i := range n {
		for _, port := range []int{portFront, portReady, portDirectory, portInternal, portInternal + 1, 9464} {
			l, err := net.Listen("tcp", s.address(i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *Site) address(daemon, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.Network, daemon+1, port)
}

// settings are those of the pages' example, with the bounds of the small sites.
func (s *Site) settings(i int, seeds, store string) string {
	return fmt.Sprintf(`Node = "frontend-a-%d"
Role = "member"
MachineClass = "frontend"
Serves = ["frontend","directory"]
Ip = "%s.%d"
Zone = "a"
Region = "r"
InternalPorts = [%d,%d]
Seeds = [%s]
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = %d
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
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
RequireFencing = true
LeaseMs = 3000
ThawSlackMs = 300
ttl_max_s = 5
[Platform]
Address = %q
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 24
AppendMs = 1.0
keep_s = 300
RecordBytes = 262144
CallBytes = 2097152
PartMb = 200
TtlMinMs = 1000
`, i+1, s.Network, i+1, portInternal, portInternal+15, seeds, HeartbeatMs,
		s.address(i, portFront), s.address(i, portReady), s.address(i, portControl), s.address(i, portDirectory), store)
}

// StartDaemons starts all daemons and waits until they are ready.
func (s *Site) StartDaemons(timeout time.Duration) error {
	for _, d := range s.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(timeout)
	for _, d := range s.Daemons {
		for !d.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready after %v", d.Name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes.
func (s *Site) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, v := range servers {
		v.Kill()
	}
	_ = s.storeServer.Close()
	_ = os.RemoveAll(s.Dir)
}

// Daemon is a daemon, started with the command of the deploy file.
type Daemon struct {
	Name string
	// Args are further arguments of its command.
	Args     []string
	site     *Site
	number   int
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool
}

// Front returns the address for clients.
func (d *Daemon) Front() string { return d.site.address(d.number, portFront) }

// IP returns its address without a port.
func (d *Daemon) IP() string { return fmt.Sprintf("%s.%d", d.site.Network, d.number+1) }

// Directory returns the address of the directory.
func (d *Daemon) Directory() string { return d.site.address(d.number, portDirectory) }

// LogFile is the file with what the daemon writes.
func (d *Daemon) LogFile() string { return filepath.Join(d.site.Dir, d.Name+".log") }

// Start starts a process.
func (d *Daemon) Start() error {
	log, err := os.OpenFile(d.LogFile(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/chute-member", d.Args...)
	cmd.Env = append(os.Environ(), "TAMARACKCHUTE_CONFIG="+d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited, d.ended = cmd, exited, false
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		d.ended = true
		d.mu.Unlock()
		d.site.Record.Printf("%s pid %d ended: %v", d.Name, cmd.Process.Pid, err)
		close(exited)
	}()
	d.site.Record.Printf("%s pid %d started", d.Name, cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the process if it runs.
func (d *Daemon) Signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && !d.ended {
		_ = d.cmd.Process.Signal(sig)
	}
}

// Running reports whether the process runs.
func (d *Daemon) Running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd != nil && !d.ended
}

// Pid returns the process's number.
func (d *Daemon) Pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	d.mu.Lock()
	running, exited := d.cmd != nil, d.exited
	d.mu.Unlock()
	if !running {
		return
	}
	d.Signal(syscall.SIGCONT)
	d.Signal(syscall.SIGKILL)
	<-exited
}

// Ready reports whether the daemon says that it is ready.
func (d *Daemon) Ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + d.site.address(d.number, portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
