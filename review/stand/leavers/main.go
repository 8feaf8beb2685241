// Command leavers shows case 4: some clients leave before their deadline. They end their side of the connection
// first and read on until the daemon has ended its own.
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tamarackchute/review/stand/kit"
)

const (
	servers  = 3
	slots    = 6
	deadline = 1500 * time.Millisecond
	// The largest dose of give_up in the small site files is a share of 0.3 of the clients, for 5.5 s; they leave
	// within half the objective.
	leaving   = 0.2
	leaveFor  = 5500 * time.Millisecond
	objective = 300 * time.Millisecond
)

func main() {
	path := flag.String("record", "record.txt", "`file` for what happened")
	trouble := flag.String("trouble", "1", "0: no client leaves")
	flag.Parse()
	os.Exit(run(*path, *trouble != "0"))
}

func run(path string, trouble bool) int {
	record, err := kit.NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	site, err := kit.NewSite(record, 3)
	if err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	defer site.Close()
	site.Store.PutJSON("keyed.op", "config", config())
	for range servers {
		if _, err := site.StartServer("wuno96b", slots, "-work", "60ms"); err != nil {
			record.Say("can't run: %v", err)
			return 2
		}
	}
	if err := site.StartDaemons(15 * time.Second); err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	time.Sleep(4 * time.Second)
	c := &clients{site: site}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	began := time.Now()
	var all sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / 60 * float64(time.Second)))
		since := time.Since(began)
		leaves := trouble && since > 3*time.Second && since < 3*time.Second+leaveFor && rand.Float64() < leaving
		all.Go(func() { c.send(leaves) })
	}
	all.Wait()
	return c.judge()
}

// clients send one request on each connection.
type clients struct {
	site *kit.Site
	next atomic.Int64

	mu       sync.Mutex
	outcomes []outcome
}

// outcome is what one client saw.
type outcome struct {
	id     string
	left   time.Duration
	status int
	stamp  string
	body   string
	err    error
}

// send sends a request. A client that leaves ends its side of the connection within half the objective.
func (c *clients) send(leaves bool) {
	o := outcome{id: fmt.Sprintf("%016x", c.next.Add(1))}
	daemon := c.site.Daemons[rand.IntN(len(c.site.Daemons))]
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.outcomes = append(c.outcomes, o)
	}()
	raw, err := net.DialTimeout("tcp", daemon.Front(), time.Second)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = raw.Close() }()
	_ = raw.SetDeadline(time.Now().Add(deadline + time.Second))
	body := "slip " + o.id
	if _, err := fmt.Fprintf(raw, "POST /pufi791/slip HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		kit.Host, o.id, deadline.Milliseconds(), len(body), body); err != nil {
		o.err = err
		return
	}
	if leaves {
		o.left = time.Duration(rand.Float64() * float64(objective) / 2)
		time.Sleep(o.left)
		_ = raw.(*net.TCPConn).CloseWrite()
	}
	resp, err := http.ReadResponse(bufio.NewReader(raw), nil)
	if err != nil {
		o.err = err
		return
	}
	text, err := io.ReadAll(resp.Body)
	o.status, o.stamp, o.body, o.err = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(text), err
}

// judge checks MIXED: a client gets a success (2xx) without the server's X-Server-Stamp.
func (c *clients) judge() int {
	record := c.site.Record
	runs := make(map[string]int)
	for _, v := range c.site.Servers() {
		for id, n := range v.Runs() {
			runs[id] += n
		}
	}
	var sent, left, served, unsigned, unsignedNotRun int
	for _, o := range c.outcomes {
		sent++
		if o.left > 0 {
			left++
		}
		success := o.err == nil && o.status/100 == 2
		switch {
		case success && o.stamp != "":
			served++
		case success:
			unsigned++
			if runs[o.id] == 0 {
				unsignedNotRun++
			}
		}
		if o.left > 0 || !success || o.stamp == "" {
			ended := "no answer"
			if o.status != 0 {
				ended = fmt.Sprintf("status %d, signature %q, body of %d bytes", o.status, o.stamp, len(o.body))
			} else if o.err != nil && !errors.Is(o.err, io.ErrUnexpectedEOF) && !errors.Is(o.err, io.EOF) {
				ended = o.err.Error()
			}
			record.Printf("request %s: left after %v; %s; run %d times", o.id, o.left, ended, runs[o.id])
		}
	}
	record.Say("%d requests sent, %d clients left, %d served, %d successes without a signature, %d of these never run", sent, left, served, unsigned, unsignedNotRun)
	switch {
	case served == 0:
		record.Say("can't be judged")
		return 2
	case unsigned > 0:
		record.Say("MIXED is broken")
		return 1
	}
	record.Say("MIXED holds")
	return 0
}

func config() any {
	type object = map[string]any
	return object{
		"Version": 7,
		"Routes": []object{{
			"Name": "r-slips", "Host": kit.Host, "PathPrefix": "/pufi791/", "Type": "non_idempotent", "TimeoutMs": 800,
			"TargetLatencyMs": objective.Milliseconds(), "Priority": 2, "Service": "wuno96b", "MaxAttempts": 1, "Sticky": false, "Resumable": false,
		}},
		"Services": []object{{"Name": "wuno96b", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
