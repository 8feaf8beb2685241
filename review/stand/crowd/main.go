// Command crowd shows case 3: callers poll one path, three of twelve servers crash at the same moment, and all
// daemons are killed and start again.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"time"

	"tamarackchute/review/stand/kit"
)

const (
	slots   = 6
	downFor = 4500 * time.Millisecond
	day     = 40 * time.Second
)

var (
	servers = 12
	crashes = 3 // a quarter
	rate    = 30.0
	work    = 800 * time.Millisecond
)

func main() {
	record := flag.String("record", "record.txt", "`file` for what happened")
	trouble := flag.String("trouble", "1", "0: none; crash: the servers' crash alone; kill: the final fault alone; else both")
	keep := flag.String("logs", "", "`folder` for the daemons' logs")
	flag.IntVar(&servers, "servers", servers, "number of servers")
	flag.IntVar(&crashes, "crashes", crashes, "number of those that crash")
	flag.Float64Var(&rate, "rate", rate, "requests a second")
	flag.DurationVar(&work, "work", work, "time that a request takes")
	flag.Parse()
	os.Exit(run(*record, *trouble, *keep))
}

func run(path, trouble, keep string) int {
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
	var running []*kit.Server
	for range servers {
		v, err := site.StartServer("huvo11a", slots, "-work", work.String())
		if err != nil {
			record.Say("can't run: %v", err)
			return 2
		}
		running = append(running, v)
	}
	if err := site.StartDaemons(15 * time.Second); err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	time.Sleep(4 * time.Second) // traffic starts some seconds after the machines do
	clients := site.NewClients(150, 40)
	ctx, cancel := context.WithTimeout(context.Background(), day)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.Load(ctx, rate, func() {
			clients.Request("status", http.MethodGet, "/lohu930/status", "", 3*time.Second, nil)
		})
	}()
	began := record.Since()
	time.Sleep(10 * time.Second)
	if trouble != "0" && trouble != "kill" {
		record.Say("%.1f s: %d of %d servers crash", record.Since(), crashes, servers)
		for _, v := range running[:crashes] {
			v.Kill()
		}
		time.AfterFunc(downFor, func() {
			for range crashes {
				if _, err := site.StartServer("huvo11a", slots, "-work", work.String()); err != nil {
					record.Say("a server doesn't start: %v", err)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
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
	if keep != "" {
		for _, d := range site.Daemons {
			_ = exec.Command("cp", d.LogFile(), keep).Run()
		}
	}
	return site.JudgeRecover(clients.Attempts(), began, final, back)
}

func config() any {
	type object = map[string]any
	return object{
		"Version": 7,
		"Routes": []object{{
			"Name": "r-3d3zji9", "Host": kit.Host, "PathPrefix": "/lohu930/", "Type": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 300,
			"Priority": 2, "Service": "huvo11a", "MaxAttempts": 2, "Sticky": false, "Resumable": false,
		}},
		"Services": []object{{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
