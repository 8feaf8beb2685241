// Command links shows case 1: requests of a route that isn't idempotent have a link in their path, and servers lose
// the answers of some of the requests that they have run.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"tamarackchute/review/stand/kit"
)

const (
	servers = 4
	slots   = 6
	// The largest doses of answer_lost in the small site files: 0.6 of the servers lose 0.4 of their answers.
	losing = 2
	share  = 0.4
	lossS  = 4 * time.Second
)

func main() {
	record := flag.String("record", "record.txt", "`file` for what happened")
	trouble := flag.String("trouble", "1", "0: no answer is lost")
	flag.Parse()
	os.Exit(run(*record, *trouble != "0"))
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
		if _, err := site.StartServer("wuno96b", slots, "-work", "15ms"); err != nil {
			record.Say("can't run: %v", err)
			return 2
		}
	}
	if err := site.StartDaemons(15 * time.Second); err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	time.Sleep(4 * time.Second)
	clients := site.NewClients(150, 40)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	kinds := map[string]string{
		"plain": "/pufi791/slip-%d",
		"link":  "/pufi791/confirm/https://" + kit.Host + "/lohu930/sheet-%d",
	}
	done := make(chan struct{})
	for kind, path := range kinds {
		go func() {
			n := 0
			clients.Load(ctx, 30, func() {
				n++
				clients.Request(kind, http.MethodPost, fmt.Sprintf(path, n), fmt.Sprintf("slip %d", n), 1500*time.Millisecond, nil)
			})
			done <- struct{}{}
		}()
	}
	time.Sleep(4 * time.Second)
	if trouble {
		record.Say("%.1f s: %d of %d servers lose %.0f in 100 of their answers", record.Since(), losing, servers, 100*share)
		for _, v := range site.Servers()[:losing] {
			v.Command(fmt.Sprintf("lose %g", share))
		}
	}
	time.Sleep(lossS)
	for _, v := range site.Servers() {
		v.Command("lose 0")
	}
	record.Say("%.1f s: no answer is lost any more", record.Since())
	for range kinds {
		<-done
	}
	return judge(record, site, clients.Attempts())
}

// judge checks TWICE: a request that isn't idempotent runs more than once.
func judge(record *kit.Record, site *kit.Site, attempts []*kit.Attempt) int {
	runs := make(map[string][]string)
	for _, v := range site.Servers() {
		for id, n := range v.Runs() {
			for range n {
				runs[id] = append(runs[id], v.ID)
			}
		}
	}
	sent, ran, twice, served := make(map[string]int), make(map[string]int), make(map[string]int), make(map[string]int)
	for _, a := range attempts {
		sent[a.Kind]++
		record.Printf("sent at %.3f: %s %s %s; answered at %.3f: %d %s; run by %v", a.SentAt, a.ID, a.Method, a.Path, a.EndedAt, a.Status, a.Err, runs[a.ID])
		if a.Status == http.StatusOK {
			served[a.Kind]++
		}
		if len(runs[a.ID]) > 0 {
			ran[a.Kind]++
		}
		if len(runs[a.ID]) > 1 {
			twice[a.Kind]++
		}
	}
	for _, kind := range []string{"plain", "link"} {
		record.Say("%s: %d requests sent, %d served, %d run, %d run more than once", kind, sent[kind], served[kind], ran[kind], twice[kind])
	}
	switch {
	case ran["plain"] == 0 || ran["link"] == 0:
		record.Say("can't be judged")
		return 2
	case twice["plain"]+twice["link"] > 0:
		record.Say("TWICE is broken")
		return 1
	}
	record.Say("TWICE holds")
	return 0
}

// config has two routes to one service, as the sheets of the small sites: slips must run once, sheets may run
// again.
func config() any {
	type object = map[string]any
	route := func(name, prefix, kind string, attempts int) object {
		return object{
			"Name": name, "Host": kit.Host, "PathPrefix": prefix, "Type": kind, "TimeoutMs": 800, "TargetLatencyMs": 100,
			"Priority": 2, "Service": "wuno96b", "MaxAttempts": attempts, "Sticky": false, "Resumable": false,
		}
	}
	return object{
		"Version":  7,
		"Routes":   []object{route("r-slips", "/pufi791/", "non_idempotent", 1), route("r-sheets", "/lohu930/", "idempotent", 2)},
		"Services": []object{{"Name": "wuno96b", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
