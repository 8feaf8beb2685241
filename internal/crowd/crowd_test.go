package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"
)

const (
	// large is the largest body that the limits allow in these tests, small one that is far below it.
	large = 1 << 20
	small = 65_000
	// head is the size of a request's head that is within the limits.
	head = 15_000

	// dialers is how many of a crowd's connections are opened and written to at a time.
	dialers = 50
	// sendTimeout is how long a client of a crowd tries to send what isn't read.
	sendTimeout = 3 * time.Second
	dialTimeout = time.Second
	// A process has settled if its figures are the same in so many samples.
	settled       = 4
	settlePause   = 250 * time.Millisecond
	settleSamples = 60
	// answerTimeout is how long an ordinary caller tries again.
	answerTimeout = 60 * time.Second
)

// form is what each client of a crowd sends before it waits with its connection open.
type form struct {
	name    string
	clients int
	// heads are the lines of the head after the first one.
	head string
	// send sends what follows the head.
	send func(w io.Writer) error
}

// forms are the crowds. path is where they send, bodies that announce their length and those that don't.
var forms = []form{
	{"large bodies a byte short", 200, lengthOf(large), repeat(large-1, 64<<10)},
	{"large bodies in pieces a byte short", 200, lengthOf(large), repeat(large-1, 1<<10)},
	{"large bodies that are announced", 400, lengthOf(large), repeat(0, 1)},
	{"one large chunk a byte short", 200, chunked, after(fmt.Sprintf("%x\r\n", large), repeat(large-1, 64<<10))},
	{"one large chunk that is announced", 400, chunked, after(fmt.Sprintf("%x\r\n", large), repeat(0, 1))},
	{"large chunks without an end", 200, chunked, chunks(large/(32<<10), 32<<10)},
	{"tiny chunks without an end", 200, chunked, chunks(large/16, 16)},
	{"bodies far too large, announced", 200, lengthOf(64 * large), repeat(2*large, 64<<10)},
	{"bodies far too large, just sent", 200, chunked, chunks(8*large/(32<<10), 32<<10)},
	{"small bodies a byte short", 1300, lengthOf(small), repeat(small-1, small)},
	{"heads without an end", 1300, "X-Filler: ", repeat(head, head)},
	{"connections that send nothing", 1300, "", nil},
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

func lengthOf(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

func repeat(total, piece int) func(io.Writer) error {
	return func(w io.Writer) error {
		text := bytes.Repeat([]byte("x"), piece)
		for left := total; left > 0; left -= piece {
			if _, err := w.Write(text[:min(piece, left)]); err != nil {
				return err
			}
		}
		return nil
	}
}

func after(first string, then func(io.Writer) error) func(io.Writer) error {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, first); err != nil {
			return err
		}
		return then(w)
	}
}

// chunks sends n chunks of some size, many of them with one write.
func chunks(n, size int) func(io.Writer) error {
	return func(w io.Writer) error {
		one := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
		perWrite := max(1, min(n, (32<<10)/len(one)))
		text := bytes.Repeat(one, perWrite)
		for left := n; left > 0; left -= perWrite {
			if _, err := w.Write(text[:len(one)*min(perWrite, left)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// process is a running process of the system.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	exited  chan struct{}
	log     string
	watched atomic.Int64
}

// start starts a program, which is killed at the test's end.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(program, args...), exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	log, err := os.Create(p.log)
	require.NoError(t, err)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
	go p.watchDescriptors()
	return p
}

// watchDescriptors records the most descriptors that the process has had open.
func (p *process) watchDescriptors() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(50 * time.Millisecond):
		}
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		p.watched.Store(max(p.watched.Load(), int64(len(open))))
	}
}

// settle returns once the process has taken what a crowd has sent: neither its memory nor its descriptors change any more.
func (p *process) settle() {
	p.t.Helper()
	steady, memory, descriptors := 0, 0, 0
	for range settleSamples {
		time.Sleep(settlePause)
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		resident := p.memory("VmRSS:")
		if steady++; len(open) != descriptors || resident > memory+memory/100 {
			steady = 0
		}
		if memory, descriptors = resident, len(open); steady == settled {
			return
		}
	}
}

// memory returns a figure of the process's status, in bytes.
func (p *process) memory(name string) int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err, "the process has ended")
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, name); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			require.NoError(p.t, err)
			return kilobytes << 10
		}
	}
	require.Fail(p.t, "the process has ended")
	return 0
}

// requireWithin requires that the process lives and has kept within its machine's memory and descriptors.
func (p *process) requireWithin(memory, descriptors int) {
	p.t.Helper()
	select {
	case <-p.exited:
		require.Fail(p.t, "the process has ended")
	default:
	}
	most := p.memory("VmHWM:")
	p.t.Logf("most memory %.1f MB, most descriptors %d", float64(most)/1e6, p.watched.Load())
	require.LessOrEqual(p.t, most, memory, "resident bytes")
	require.LessOrEqual(p.t, int(p.watched.Load()), descriptors, "descriptors")
}

// gather opens a crowd's connections, and returns once each of them has sent what it sends, or can't, and the process has
// taken that. They stay open until leave is called, or the test's end.
func (f form) gather(t *testing.T, p *process, address, requestLine string) (leave func()) {
	t.Helper()
	var mu sync.Mutex
	var open []net.Conn
	leave = func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	}
	t.Cleanup(leave)
	work := pool.New().WithMaxGoroutines(dialers)
	for range f.clients {
		work.Go(func() {
			c, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return // the process takes no more
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			if f.send == nil {
				return
			}
			if _, err := io.WriteString(c, requestLine+f.head); err == nil {
				_ = f.send(c) // one that isn't read, or is refused, is one of the allowed ends
			}
		})
	}
	work.Wait()
	p.settle()
	return leave
}

// requireAnswered requires that an ordinary request, tried again where it is refused, is answered.
func requireAnswered(t *testing.T, name string, newRequest func() *http.Request, want func(*http.Response, []byte) bool) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	last := ""
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		resp, err := client.Do(newRequest())
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && want(resp, body) {
			return
		}
		last = fmt.Sprint(resp.StatusCode, " ", string(body), err)
	}
	require.Fail(t, name+" isn't answered: "+last)
}
