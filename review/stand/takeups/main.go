// Command takeups plays streams that their callers take up at a daemon which is sound, stands still, or is cut from the
// store or from its peers, during a release that keeps the pool busy. It reports the streams with events of two versions, and
// the shares of those that go on and of the new streams that begin meanwhile.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarackchute/platform/standin"
	"tamarackchute/review/stand/kit"
)

const (
	daemons  = 3
	slots    = 8
	events   = 30
	eventGap = 15 * time.Millisecond
	deadline = 5 * time.Second
	leftAt   = 4
	service  = "rima80e"
	path     = "/wu432/"
)

// play is one run.
type play struct {
	callers, old, young, streams int
	fault                        string
	length, wait                 time.Duration
	born                         bool

	site *kit.Site

	mu      sync.Mutex
	next    int
	mixed   int
	results map[string]int
}

func main() {
	p := &play{results: make(map[string]int)}
	record := flag.String("record", "record.txt", "`file` for what happened")
	keep := flag.String("logs", "", "`folder` for the daemons' logs")
	flag.IntVar(&p.callers, "callers", 40, "callers of new streams, at the first two daemons")
	flag.IntVar(&p.old, "old", 2, "engines of the version that began the streams")
	flag.IntVar(&p.young, "young", 4, "engines of the other version, which join")
	flag.IntVar(&p.streams, "streams", 32, "streams that are taken up at the third daemon")
	flag.StringVar(&p.fault, "fault", "", "of the third daemon: stands-still, store-silent or alone; sound if it is empty")
	flag.DurationVar(&p.length, "length", 2*time.Second, "length of the fault")
	flag.DurationVar(&p.wait, "wait", 500*time.Millisecond, "time between the joining and the take-ups")
	flag.BoolVar(&p.born, "born", false, "entries tell when the engines started")
	flag.Parse()
	r, err := kit.NewRecord(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer r.Close()
	if err := p.run(r, *keep); err != nil {
		r.Say("can't run: %v", err)
		os.Exit(2)
	}
}

func (p *play) run(r *kit.Record, keep string) error {
	var err error
	if p.site, err = kit.NewSite(r, daemons); err != nil {
		return err
	}
	defer p.site.Close()
	p.configure()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.join(ctx, "v1", p.old); err != nil {
		return err
	}
	if err := p.site.StartDaemons(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	begun := make([]stream, p.streams)
	for i := range begun {
		begun[i] = p.take(0, leftAt)
	}
	p.begin(r)
	if err := p.join(ctx, "v2", p.young); err != nil {
		return err
	}
	load, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range p.callers {
		callers.Go(func() { p.call(load, i%2) })
	}
	time.Sleep(p.wait)
	goOn, begin := p.takeUp(begun)
	stop()
	callers.Wait()
	p.end()
	if keep != "" {
		for _, d := range p.site.Daemons {
			_ = exec.Command("cp", d.LogFile(), keep).Run()
		}
	}
	r.Say("fault %q, %d old, %d young, %d callers: mixed %d, taken up %s, new %s", p.fault, p.old, p.young, p.callers, p.mixed, goOn, begin)
	return nil
}

// begin begins the third daemon's fault, end ends it.
func (p *play) begin(r *kit.Record) {
	third := p.site.Daemons[2]
	switch p.fault {
	case "stands-still":
		third.Signal(syscall.SIGSTOP)
		time.AfterFunc(p.length, func() { third.Signal(syscall.SIGCONT) })
	case "store-silent":
		p.site.Store.HangWaitingReads(true)
		time.AfterFunc(p.length, func() { p.site.Store.HangWaitingReads(false) })
	case "alone":
		for _, d := range p.site.Daemons[:2] {
			d.Signal(syscall.SIGSTOP)
		}
		time.AfterFunc(p.length, p.end)
	}
	r.Printf("fault %q begins", p.fault)
}

func (p *play) end() {
	for _, d := range p.site.Daemons {
		d.Signal(syscall.SIGCONT)
	}
	p.site.Store.HangWaitingReads(false)
}

// takeUp takes streams up at the third daemon and returns the shares of those that go on to their end, and of the new ones
// that begin meanwhile.
func (p *play) takeUp(begun []stream) (goOn, begin string) {
	before := p.counts()
	rest := make([]stream, len(begun))
	var takeUps sync.WaitGroup
	for i, b := range begun {
		takeUps.Go(func() {
			rest[i] = p.take(2, 0, "Last-Event-Id", fmt.Sprint(leftAt), "Resumes", b.id)
		})
	}
	takeUps.Wait()
	whole := 0
	for i := range rest {
		if begun[i].events != leftAt {
			continue
		}
		if rest[i].events > 0 && rest[i].versions != begun[i].versions {
			p.mixed++
		}
		if rest[i].last == events {
			whole++
		}
	}
	time.Sleep(500 * time.Millisecond)
	after := p.counts()
	began, refused := after["begun"]-before["begun"], after["refused"]-before["refused"]
	return share(whole, len(begun)), share(began, began+refused)
}

func share(n, of int) string {
	return fmt.Sprintf("%.2f of %d", float64(n)/float64(max(1, of)), of)
}

func (p *play) counts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]int, len(p.results))
	for k, n := range p.results {
		all[k] = n
	}
	return all
}

// call asks a daemon for new streams, one after the other.
func (p *play) call(ctx context.Context, daemon int) {
	for ctx.Err() == nil {
		s := p.take(daemon, 0)
		what := "begun"
		if s.events == 0 {
			what = "refused"
		}
		p.mu.Lock()
		p.results[what]++
		p.mu.Unlock()
		if s.events == 0 {
			time.Sleep(min(deadline, 100*time.Millisecond))
		}
	}
}

// stream is what arrived of a stream; versions names those that told its events.
type stream struct {
	id           string
	versions     string
	events, last int
}

var eventOf = regexp.MustCompile(`^data: token (\d+) of (\S+)$`)

// take asks a daemon for a stream and leaves after some events; 0 means at its end.
func (p *play) take(daemon, leave int, headers ...string) stream {
	p.mu.Lock()
	p.next++
	s := stream{id: fmt.Sprintf("%016x", p.next)}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.site.Daemons[daemon].Front()+path, strings.NewReader(s.id))
	req.Host = kit.Host
	headers = append(headers, "X-Request-Id", s.id, "X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()), "X-Model", "m", "X-Token-Count", "100,30", "X-Prompt-Prefix", s.id+":100")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		found := eventOf.FindStringSubmatch(lines.Text())
		if found == nil {
			continue
		}
		s.events++
		_, _ = fmt.Sscan(found[1], &s.last)
		if !strings.Contains(s.versions, found[2]) {
			s.versions += found[2]
		}
		if s.events == leave {
			break
		}
	}
	return s
}

// join adds engines of a version.
func (p *play) join(ctx context.Context, version string, n int) error {
	for i := range n {
		l, err := net.Listen("tcp", p.site.Network+".100:0")
		if err != nil {
			return err
		}
		s := standin.NewServerOn(fmt.Sprintf("i-%s-%d", version, i), l)
		s.Version, s.Events, s.EventGap, s.Slots = version, events, eventGap, slots
		entry := map[string]any{
			"Service": service, "Address": s.Address(), "Zone": "a", "Version": version, "Slots": slots, "State": "ready",
			"Stage": standin.RoleDecode, "ColdRemainingMs": 0, "Seq": 0,
		}
		if p.born {
			entry["born"] = time.Now().UnixMilli()
		}
		go func() {
			for ctx.Err() == nil {
				p.site.Store.PutJSON("keyed.servers", s.ID, entry)
				time.Sleep(kit.HeartbeatMs * time.Millisecond)
			}
		}()
	}
	return nil
}

func (p *play) configure() {
	type object = map[string]any
	p.site.Store.PutJSON("keyed.op", "config", object{
		"Version": 1,
		"Routes": []object{{
			"Name": "r-zsggc4i", "Host": kit.Host, "PathPrefix": path, "Type": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 120,
			"Priority": 2, "Service": service, "MaxAttempts": 2, "Sticky": true, "Resumable": true, "GapTargetMs": 150,
		}},
		"Services": []object{{
			"Name": service, "HealthPath": "/healthz", "MaxConns": 400, "Protocol": "h1", "Tls": false,
			"Engine": object{"Slots": slots, "KvCapacity": 200000, "KvTokenBytes": 1000, "LinkMbps": 10000, "KvHoldS": 5, "SwitchS": 60},
		}},
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}
