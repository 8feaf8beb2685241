// Command silences plays servers that fall silent for about a second and go on, under a load of streams, beside
// planned stops of a daemon and changes of the configuration. It reports the streams that have begun and don't end
// whole.
package main

import (
	"bufio"
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
	daemons    = 5
	slots      = 16
	events     = 25
	eventGap   = 60 * time.Millisecond
	deadline   = 5 * time.Second
	calm       = 5 * time.Second
	silenceGap = 3 * time.Second
	after      = 8 * time.Second
	service    = "rima80e"
	path       = "/wu432/"
)

// play is one run.
type play struct {
	callers, engines, attempts int
	share                      float64
	length                     time.Duration
	silences, configs          int
	stops, dead                int
	rest                       time.Duration
	prefill                    int

	site      *kit.Site
	servers   []*standin.Server
	mu        sync.Mutex
	addresses []string
	next      atomic.Int64
	began     time.Time

	counts map[string]int
}

func main() {
	p := &play{counts: make(map[string]int)}
	record := flag.String("record", "record.txt", "`file` for what happened")
	keep := flag.String("logs", "", "`folder` for the daemons' logs")
	flag.IntVar(&p.callers, "callers", 200, "callers")
	flag.IntVar(&p.engines, "engines", 3, "engines of 16 places")
	flag.IntVar(&p.attempts, "attempts", 2, "MaxAttempts of the route")
	flag.Float64Var(&p.share, "share", 0.6, "share of the engines that falls silent")
	flag.DurationVar(&p.length, "length", 1200*time.Millisecond, "length of a silence")
	flag.IntVar(&p.silences, "silences", 2, "number of silences")
	flag.IntVar(&p.configs, "configs", 0, "changes of the configuration, each right before a silence")
	flag.IntVar(&p.stops, "stops", 0, "daemons that are stopped, each a second before a silence")
	flag.IntVar(&p.dead, "dead", 0, "engines that fall silent for good at the first silence")
	flag.IntVar(&p.prefill, "prefill", 0, "engines that only prefill")
	flag.DurationVar(&p.rest, "rest", 2500*time.Millisecond, "mean time between two requests of a caller")
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
	p.configure(7)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.startServers(ctx); err != nil {
		return err
	}
	if err := p.site.StartDaemons(15 * time.Second); err != nil {
		return err
	}
	go p.resolve(ctx)
	time.Sleep(2 * time.Second)
	p.began = time.Now()
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i := range p.callers {
		callers.Go(func() { p.call(i, stop, r) })
	}
	time.Sleep(calm)
	for n := range max(p.silences, p.configs, p.stops) {
		if n < p.stops {
			r.Say("%.2f s: %s gets SIGTERM", time.Since(p.began).Seconds(), p.site.Daemons[n].Name)
			p.site.Daemons[n].Signal(syscall.SIGTERM)
			time.Sleep(time.Second)
		}
		if n < p.configs {
			p.configure(8 + n)
		}
		if n < p.silences {
			p.fallSilent(r, n)
		}
		time.Sleep(silenceGap)
	}
	time.Sleep(after)
	close(stop)
	callers.Wait()
	if keep != "" {
		for _, d := range p.site.Daemons {
			_ = exec.Command("cp", d.LogFile(), keep).Run()
		}
	}
	text, _ := json.Marshal(p.counts)
	r.Say("%s", text)
	return nil
}

// fallSilent silences a share of the engines, in an order that moves on with each silence.
func (p *play) fallSilent(r *kit.Record, n int) {
	count := int(p.share*float64(len(p.servers)) + 0.5)
	var names []string
	for i := range count {
		s := p.servers[(n+i)%len(p.servers)]
		length := p.length
		if n == 0 && i < p.dead {
			length = time.Hour
		}
		s.FallSilent(length)
		names = append(names, s.ID)
	}
	r.Say("%.2f s: silent: %s", time.Since(p.began).Seconds(), strings.Join(names, " "))
}

func (p *play) startServers(ctx context.Context) error {
	for i := range p.engines + p.prefill {
		l, err := net.Listen("tcp", p.site.Network+".100:0")
		if err != nil {
			return err
		}
		s := standin.NewServerOn(fmt.Sprintf("i-%04d", i+1), l)
		s.Events, s.EventGap, s.PrefillTime, s.Slots = events, eventGap, 60*time.Millisecond, slots
		if i >= p.engines {
			s.Slots = 0
		} else {
			p.servers = append(p.servers, s)
		}
		stage := "decode"
		if i >= p.engines {
			stage = "prefill"
		}
		born := time.Now().UnixMilli()
		go func() {
			for seq := 1; ctx.Err() == nil; seq++ {
				p.site.Store.PutJSON("keyed.servers", s.ID, map[string]any{
					"Service": service, "Address": s.Address(), "Zone": "a", "Version": "v1", "Slots": slots, "State": "ready",
					"Stage": stage, "ColdRemainingMs": 0, "Seq": 0, "born": born,
				})
				time.Sleep(kit.HeartbeatMs * time.Millisecond)
			}
		}()
	}
	return nil
}

func (p *play) configure(version int) {
	type object = map[string]any
	p.site.Store.PutJSON("keyed.op", "config", object{
		"Version": version,
		"Routes": []object{{
			"Name": "r-zsggc4i", "Host": kit.Host, "PathPrefix": path, "Type": "streaming", "TimeoutMs": 6000 + version, "TargetLatencyMs": 500,
			"Priority": 2, "Service": service, "MaxAttempts": p.attempts, "Sticky": true, "Resumable": true, "GapTargetMs": 150,
		}},
		"Services": []object{{
			"Name": service, "HealthPath": "/healthz", "MaxConns": 400, "Protocol": "h1", "Tls": false,
			"Engine": object{"Slots": slots, "KvCapacity": 200000, "KvTokenBytes": 1000, "LinkMbps": 10000, "KvHoldS": 5, "SwitchS": 60},
		}},
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 + version},
	})
}

// resolve keeps the addresses that the directory names.
func (p *play) resolve(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		d := p.site.Daemons[rand.IntN(daemons)]
		resp, err := client.Get("http://" + d.Directory() + "/-/resolve?Name=" + kit.Host + "&Region=r&Zone=a")
		if err == nil {
			var answer struct{ Addresses []string }
			if json.NewDecoder(resp.Body).Decode(&answer) == nil && len(answer.Addresses) > 0 {
				p.mu.Lock()
				p.addresses = answer.Addresses
				p.mu.Unlock()
			}
			_ = resp.Body.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (p *play) front() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addresses) == 0 {
		return p.site.Daemons[0].Front()
	}
	return p.addresses[rand.IntN(len(p.addresses))]
}

// call sends requests one after the other, on kept connections.
func (p *play) call(n int, stop chan struct{}, r *kit.Record) {
	client := &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, p.front())
		},
	}}
	time.Sleep(time.Duration(rand.Int64N(int64(p.rest))))
	for {
		select {
		case <-stop:
			return
		default:
		}
		wait := p.send(client, r)
		time.Sleep(wait + time.Duration(rand.ExpFloat64()*float64(p.rest)))
	}
}

// send sends one request and counts how it ended.
func (p *play) send(client *http.Client, r *kit.Record) time.Duration {
	id := fmt.Sprintf("%016x", p.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+kit.Host+path+"x", strings.NewReader(id))
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Count", "400,25")
	req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("a1:100,%x:300", rand.Uint64()))
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		p.count(r, "no response", id, sent, 0, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		p.count(r, fmt.Sprint(resp.StatusCode), id, sent, 0, nil)
		var seconds float64
		_, _ = fmt.Sscan(resp.Header.Get("Retry-After"), &seconds)
		return time.Duration(seconds * float64(time.Second))
	}
	got, err := readEvents(resp.Body)
	if err == nil && got == events {
		p.count(r, "whole", id, sent, got, nil)
		return 0
	}
	p.count(r, "begun, not whole", id, sent, got, err)
	return 0
}

func readEvents(body io.Reader) (int, error) {
	lines := bufio.NewScanner(body)
	n := 0
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			n++
		}
	}
	return n, lines.Err()
}

func (p *play) count(r *kit.Record, what, id string, sent time.Time, got int, err error) {
	p.mu.Lock()
	p.counts[what]++
	p.mu.Unlock()
	if what == "begun, not whole" || what == "no response" {
		r.Printf("%s: %s sent at %.2f, ended after %.2f s with %d events: %v", id, what, sent.Sub(p.began).Seconds(), time.Since(sent).Seconds(), got, err)
	}
}
