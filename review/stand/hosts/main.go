// Command hosts shows case 2: a request to one host crashes each server that runs it, callers of another host send
// the same path to another service, and all daemons are killed and start again.
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
	slots   = 6
	perHost = 6
	day     = 44 * time.Second
	// The deadly request comes again each second from four callers, for deadlyFor; a crashed server is back
	// after downFor.
	deadlyFor = 8 * time.Second
	callers   = 4
	downFor   = 3 * time.Second
	path      = "/api/status"
	deadlyAt  = "north.example"
	soundAt   = "south.example"
)

func main() {
	record := flag.String("record", "record.txt", "`file` for what happened")
	trouble := flag.String("trouble", "1", "0: none; crash: the deadly requests alone; kill: the final fault alone; else both")
	flag.Parse()
	os.Exit(run(*record, *trouble))
}

func run(recordPath, trouble string) int {
	record, err := kit.NewRecord(recordPath)
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range perHost {
		if err := startDeadly(ctx, site); err != nil {
			record.Say("can't run: %v", err)
			return 2
		}
		if _, err := site.StartServer("south", slots, "-work", "15ms"); err != nil {
			record.Say("can't run: %v", err)
			return 2
		}
	}
	if err := site.StartDaemons(15 * time.Second); err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	time.Sleep(4 * time.Second)
	sound, deadly := site.NewClients(150, 40), site.NewClients(210, 3)
	traffic, stop := context.WithTimeout(ctx, day)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		sound.Load(traffic, 5, func() {
			sound.Request("sound", http.MethodGet, path, "", 1500*time.Millisecond, http.Header{"Host": {soundAt}})
		})
	}()
	began := record.Since()
	time.Sleep(10 * time.Second)
	if trouble != "0" && trouble != "kill" {
		record.Say("%.1f s: a request to %s that crashes each server comes each second from four callers", record.Since(), deadlyAt)
		for end := time.Now().Add(deadlyFor); time.Now().Before(end); time.Sleep(time.Second) {
			for range callers {
				go func() {
					a := deadly.Request("deadly", http.MethodGet, path, "", 1500*time.Millisecond, http.Header{"Host": {deadlyAt}})
					record.Printf("deadly request %s: %d %s", a.ID, a.Status, a.Err)
				}()
			}
		}
	}
	final := record.Since()
	back := final
	if trouble != "0" && trouble != "crash" {
		record.Say("%.1f s: all daemons are killed", record.Since())
		for _, d := range site.Daemons {
			d.Kill()
		}
		time.Sleep(time.Second)
		for _, d := range site.Daemons {
			if err := d.Start(); err != nil {
				record.Say("can't run: %v", err)
				return 2
			}
		}
		back = record.Since()
	}
	<-done
	return site.JudgeRecover(sound.Attempts(), began, final, back)
}

// startDeadly starts a server that the deadly request crashes, and another one each time after it has crashed.
func startDeadly(ctx context.Context, site *kit.Site) error {
	v, err := site.StartServer("north", slots, "-work", "15ms", "-deadly", path)
	if err != nil {
		return err
	}
	go func() {
		<-v.Crashed()
		select {
		case <-ctx.Done():
		case <-time.After(downFor):
			if err := startDeadly(ctx, site); err != nil {
				site.Record.Say("a server doesn't start: %v", err)
			}
		}
	}()
	return nil
}

func config() any {
	type object = map[string]any
	route := func(host, service string) object {
		return object{
			"Name": "r-" + service, "Host": host, "PathPrefix": "/api/", "Type": "idempotent", "TimeoutMs": 800, "TargetLatencyMs": 100,
			"Priority": 2, "Service": service, "MaxAttempts": 2, "Sticky": false, "Resumable": false,
		}
	}
	service := func(name string) object {
		return object{"Name": name, "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}
	}
	return object{
		"Version":  7,
		"Routes":   []object{route(deadlyAt, "north"), route(soundAt, "south")},
		"Services": []object{service("north"), service("south")},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
