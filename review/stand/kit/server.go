package kit

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Server is a process that stands in for a server of a service, with its entry in the store.
type Server struct {
	ID, Service, Address string

	site *Site
	cmd  *exec.Cmd
	in   io.Writer
	born int64
	stop chan struct{}
	once sync.Once
	done chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// StartServer starts a server under an ID of its own and writes its entry while it lives, as the pages say:
// about every HeartbeatMs; it is removed after three intervals of silence.
func (s *Site) StartServer(service string, slots int, args ...string) (*Server, error) {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("i-%s-%04d", service, s.started)
	s.mu.Unlock()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(filepath.Dir(self), "server"), append([]string{"-id", id, "-listen", s.Network + ".100:0"}, args...)...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	v := &Server{ID: id, Service: service, site: s, cmd: cmd, in: in, born: time.Now().UnixMilli(), stop: make(chan struct{}), done: make(chan struct{}), runs: make(map[string]int)}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("server %s doesn't start", id)
	}
	v.Address = strings.TrimPrefix(lines.Text(), "listens ")
	go v.read(lines)
	go v.heartbeat(slots)
	s.mu.Lock()
	s.servers = append(s.servers, v)
	s.mu.Unlock()
	s.Record.Printf("server %s pid %d at %s started", id, cmd.Process.Pid, v.Address)
	return v, nil
}

func (v *Server) read(lines *bufio.Scanner) {
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "run "); ok {
			v.mu.Lock()
			v.runs[id]++
			v.mu.Unlock()
		} else {
			v.site.Record.Printf("server %s: %s", v.ID, lines.Text())
		}
	}
	_ = v.cmd.Wait()
	v.once.Do(func() { close(v.stop) })
	close(v.done)
}

// Runs returns how often the server has run each request.
func (v *Server) Runs() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make(map[string]int, len(v.runs))
	for id, n := range v.runs {
		all[id] = n
	}
	return all
}

func (v *Server) heartbeat(slots int) {
	seq := 0
	for {
		seq++
		v.site.Store.PutJSON("keyed.servers", v.ID, map[string]any{
			"Service": v.Service, "Address": v.Address, "Zone": "a", "Version": "v1", "Slots": slots, "State": "ready",
			"ColdRemainingMs": 0, "Seq": seq, "born": v.born,
		})
		select {
		case <-time.After(HeartbeatMs * time.Millisecond):
		case <-v.stop:
			time.Sleep(3*HeartbeatMs*time.Millisecond - HeartbeatMs/2*time.Millisecond)
			v.site.Store.Put("keyed.servers", v.ID, nil)
			return
		}
	}
}

// Crashed returns a channel that closes when the process has ended.
func (v *Server) Crashed() <-chan struct{} { return v.done }

// Command tells the server what to do from now on.
func (v *Server) Command(text string) { _, _ = fmt.Fprintln(v.in, text) }

// Kill crashes the server: its process is killed, and its entry lapses.
func (v *Server) Kill() {
	_ = v.cmd.Process.Kill()
	v.once.Do(func() { close(v.stop) })
}

// Servers returns all servers that were ever started.
func (s *Site) Servers() []*Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Server(nil), s.servers...)
}
