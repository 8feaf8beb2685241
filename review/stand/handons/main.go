// Command handons plays planned stops of daemons, one after the other, while others have no path to the servers and
// hand their requests on to them. It reports the requests that don't end with a whole answer, and whether the daemon
// that took them was told to stop.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackchute/platform/standin"
	"tamarackchute/review/stand/kit"
)

const (
	slots    = 16
	eventGap = 60 * time.Millisecond
	calm     = 6 * time.Second
	grace    = 8 * time.Second

	// notice is how long after a SIGTERM callers may not know of it.
	notice = 3 * time.Second

	// plainTime is what one of ten plain requests takes.
	plainTime = 4 * time.Second
)

// route is a kind of request.
type route struct {
	name, path, service, kind string
	resumable                 bool
	deadline                  time.Duration
}

var routes = []route{
	{"chat", "/chat/", "llm", "streaming", true, 15 * time.Second},
	{"brief", "/brief/", "llm", "streaming", false, 15 * time.Second},
	{"look", "/look/", "app", "idempotent", false, 10 * time.Second},
	{"book", "/book/", "app", "non_idempotent", false, 10 * time.Second},
}

// play is one run.
type play struct {
	daemons, cut, callers, engines, attempts, events int
	stopCut, kill                                    bool
	between, late                                    time.Duration
	configs                                          int

	site    *kit.Site
	record  *kit.Record
	began   time.Time
	next    atomic.Int64
	noPath  atomic.Bool
	servers []*standin.Server

	mu     sync.Mutex
	told   map[int]time.Time
	counts map[string]int
}

func main() {
	p := &play{counts: make(map[string]int), told: make(map[int]time.Time)}
	record := flag.String("record", "record.txt", "`file` for what happened")
	keep := flag.String("logs", "", "`folder` for the daemons' logs")
	flag.IntVar(&p.daemons, "daemons", 7, "daemons")
	flag.IntVar(&p.cut, "cut", 2, "daemons without a path to the servers, the first ones")
	flag.IntVar(&p.callers, "callers", 60, "callers")
	flag.IntVar(&p.engines, "engines", 8, "engines of 16 places")
	flag.IntVar(&p.attempts, "attempts", 2, "MaxAttempts of the routes")
	flag.IntVar(&p.events, "events", 105, "events of a stream, 60 ms apart")
	flag.DurationVar(&p.between, "between", 2*time.Second, "time between two stops at most")
	flag.BoolVar(&p.stopCut, "stop-cut", false, "stop the daemons without a path, too, before the others")
	flag.BoolVar(&p.kill, "kill", false, "kill daemons instead of stopping them")
	flag.DurationVar(&p.late, "late", 0, "time for which a daemon can't handle its SIGTERM")
	flag.IntVar(&p.configs, "configs", 0, "changes of the configuration, one with each of the first stops")
	flag.Parse()
	r, err := kit.NewRecord(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer r.Close()
	p.record = r
	if err := p.run(*keep); err != nil {
		r.Say("can't run: %v", err)
		os.Exit(2)
	}
}

func (p *play) run(keep string) error {
	var err error
	if p.site, err = kit.NewSite(p.record, p.daemons); err != nil {
		return err
	}
	defer p.site.Close()
	for _, d := range p.site.Daemons {
		d.Args = []string{"-source", d.IP()} // by which servers tell daemons apart
	}
	p.configure(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range p.engines {
		if err := p.startServer(ctx, "llm", fmt.Sprintf("i-llm-%d", i), p.events); err != nil {
			return err
		}
	}
	for i := range 4 {
		if err := p.startServer(ctx, "app", fmt.Sprintf("i-app-%d", i), 0); err != nil {
			return err
		}
	}
	if err := p.site.StartDaemons(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	p.began = time.Now()
	p.noPath.Store(true)
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i := range p.callers {
		callers.Go(func() { p.call(i, stop) })
	}
	time.Sleep(calm)
	p.stopDaemons()
	close(stop)
	callers.Wait()
	time.Sleep(time.Second)
	if keep != "" {
		for _, d := range p.site.Daemons {
			_ = exec.Command("cp", d.LogFile(), keep).Run()
		}
	}
	text, _ := json.Marshal(p.counts)
	p.record.Say("%s", text)
	return nil
}

// stopDaemons stops the daemons in turn, those with a path in the order of their numbers, and starts each again.
func (p *play) stopDaemons() {
	var order []int
	if p.stopCut {
		for i := range p.cut {
			order = append(order, i)
		}
	}
	for i := p.cut; i < p.daemons; i++ {
		order = append(order, i)
	}
	var restarts sync.WaitGroup
	for n, i := range order {
		d := p.site.Daemons[i]
		p.mu.Lock()
		p.told[i] = time.Now()
		p.mu.Unlock()
		p.record.Say("%.2f s: %s is stopped", time.Since(p.began).Seconds(), d.Name)
		if p.kill {
			d.Signal(syscall.SIGKILL)
		} else {
			p.terminate(d)
		}
		if n < p.configs {
			p.configure(2 + n)
		}
		restarts.Go(func() {
			for d.Running() {
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond)
			_ = d.Start()
		})
		time.Sleep(100*time.Millisecond + time.Duration(rand.Int64N(int64(p.between))))
	}
	restarts.Wait()
	time.Sleep(2 * time.Second)
}

// terminate sends a SIGTERM that the daemon handles some time later.
func (p *play) terminate(d *kit.Daemon) {
	if p.late == 0 {
		d.Signal(syscall.SIGTERM)
		return
	}
	d.Signal(syscall.SIGSTOP)
	d.Signal(syscall.SIGTERM)
	time.AfterFunc(p.late, func() { d.Signal(syscall.SIGCONT) })
}

// startServer starts a server that daemons without a path don't reach.
func (p *play) startServer(ctx context.Context, service, id string, events int) error {
	l, err := net.Listen("tcp", p.site.Network+".100:0")
	if err != nil {
		return err
	}
	s := standin.NewServerOn(id, &cutListener{Listener: l, play: p})
	s.Events, s.EventGap, s.PrefillTime = events, eventGap, 60*time.Millisecond
	if events > 0 {
		s.Slots = slots
	} else {
		s.SlowEvery, s.SlowFor = 2, plainTime
	}
	p.servers = append(p.servers, s)
	born := time.Now().UnixMilli()
	go func() {
		for ctx.Err() == nil {
			entry := map[string]any{
				"Service": service, "Address": s.Address(), "Zone": "a", "Version": "v1", "Slots": 32, "State": "ready",
				"ColdRemainingMs": 0, "Seq": 0, "born": born,
			}
			if events > 0 {
				entry["Slots"], entry["Stage"] = slots, "decode"
			}
			p.site.Store.PutJSON("keyed.servers", s.ID, entry)
			time.Sleep(kit.HeartbeatMs * time.Millisecond)
		}
	}()
	return nil
}

// cutListener resets connections of daemons without a path.
type cutListener struct {
	net.Listener
	play *play
}

func (l *cutListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.play.isCut(c.RemoteAddr().String()) {
			return c, err
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *play) isCut(address string) bool {
	for i := range p.cut {
		if p.noPath.Load() && strings.HasPrefix(address, p.site.Daemons[i].IP()+":") {
			return true
		}
	}
	return false
}

func (p *play) configure(version int) {
	type object = map[string]any
	var all []object
	for _, v := range routes {
		all = append(all, object{
			"Name": v.name, "Host": kit.Host, "PathPrefix": v.path, "Type": v.kind, "TimeoutMs": int(v.deadline.Milliseconds()) + 1000 + version,
			"TargetLatencyMs": 1000, "Priority": 2, "Service": v.service, "MaxAttempts": p.attempts, "Sticky": v.kind == "streaming",
			"Resumable": v.resumable, "GapTargetMs": 150,
		})
	}
	p.site.Store.PutJSON("keyed.op", "config", object{
		"Version": version, "Routes": all,
		"Services": []object{
			{
				"Name": "llm", "HealthPath": "/healthz", "MaxConns": 400, "Protocol": "h1", "Tls": false,
				"Engine": object{"Slots": slots, "KvCapacity": 200000, "KvTokenBytes": 1000, "LinkMbps": 10000, "KvHoldS": 5, "SwitchS": 60},
			},
			{"Name": "app", "HealthPath": "/healthz", "MaxConns": 400, "Protocol": "h1", "Tls": false},
		},
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 + version},
	})
}

// call sends requests one after the other on a kept connection to one daemon, as long as that takes connections.
func (p *play) call(n int, stop chan struct{}) {
	daemon := n % p.daemons
	client := &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, p.site.Daemons[daemon].Front())
		},
	}}
	for i := n; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		p.send(client, daemon, routes[i%len(routes)])
		time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
	}
}

// send sends one request and counts how it ended.
func (p *play) send(client *http.Client, daemon int, v route) {
	id := fmt.Sprintf("%016x", p.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), v.deadline+500*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+kit.Host+v.path+"x", strings.NewReader(id))
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(v.deadline.Milliseconds()))
	if v.kind == "streaming" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Count", fmt.Sprintf("400,%d", p.events))
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("a1:100,%x:300", rand.Uint64()))
	}
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		if !strings.Contains(err.Error(), "refused") {
			p.count("no response", v, daemon, id, sent, 0, err)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	events := strings.Count(string(body), "data: ")
	switch {
	case resp.StatusCode != http.StatusOK:
		p.count(fmt.Sprint(resp.StatusCode), v, daemon, id, sent, 0, nil)
	case err != nil || v.kind == "streaming" && events != p.events:
		p.count("not whole", v, daemon, id, sent, events, err)
	default:
		p.count("whole", v, daemon, id, sent, events, nil)
	}
}

// count counts the end of a request. One that a stopping daemon may leave over isn't told from others here.
func (p *play) count(what string, v route, daemon int, id string, sent time.Time, events int, err error) {
	p.mu.Lock()
	told := p.told[daemon]
	what = v.name + ": " + what
	beside := ""
	if !told.IsZero() && time.Now().After(told) && sent.Before(told.Add(grace)) {
		beside = fmt.Sprintf(", its daemon told to stop %.2f s before, sent %.2f s after", time.Since(told).Seconds(), sent.Sub(told).Seconds())
	}
	if beside != "" {
		p.counts[what+" (stopping)"]++
		if sent.After(told.Add(notice)) {
			p.counts[what+" (sent after the notice)"]++
		}
	} else {
		p.counts[what]++
	}
	p.mu.Unlock()
	if strings.HasSuffix(what, "not whole") || strings.HasSuffix(what, "no response") || strings.HasSuffix(what, "502") || strings.HasSuffix(what, "504") {
		p.record.Printf("%s: %s at daemon %d sent at %.2f, ended after %.2f s with %d events%s: %v", id, what, daemon+1, sent.Sub(p.began).Seconds(), time.Since(sent).Seconds(), events, beside, err)
	}
}
