package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/engineclient"
)

// request is a request that is sent repeatedly to one address.
type request struct {
	address string
	method  string
	path    string
	body    []byte
}

func serviceRequest(address string) request {
	return request{address: address, method: fasthttp.MethodGet, path: "/bookings/1"}
}

// generateRequest asks an engine for a short response without gaps between tokens.
func generateRequest(address string) request {
	body, err := json.Marshal(engineclient.GenerateMessage{
		AttemptID: "bench", Model: "agronomy", Prompt: "0 x", MaxTokens: plainTokens,
	})
	if err != nil {
		panic(err) // a plain struct has a JSON form
	}
	return request{address: address, method: fasthttp.MethodPost, path: engineclient.PathGenerate, body: body}
}

func completionRequest(address string) request {
	body := fmt.Sprintf(`{"model":"agronomy","prompt":"0 x","max_tokens":%d}`, plainTokens)
	return request{address: address, method: fasthttp.MethodPost, path: "/v1/completions", body: []byte(body)}
}

// newHistogram records latencies from 1 µs to 10 s with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

// measurePlain sends requests directly and through the entry, concurrently and each at
// the rate. Latencies count from the scheduled time of a request.
func measurePlain(o options, p process, name string, direct, viaEntry request) error {
	targets := []*target{newTarget(direct), newTarget(viaEntry)}
	for _, t := range targets { // warm up connections and caches
		t.drive(o.rate/4, time.Second)
		t.latencies.Reset()
	}
	before, err := p.cpu()
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	for _, t := range targets {
		wg.Go(func() { t.drive(o.rate, o.length) })
	}
	wg.Wait()
	after, err := p.cpu()
	if err != nil {
		return err
	}
	return reportPlain(name, targets[0], targets[1], after-before)
}

func reportPlain(name string, direct, viaEntry *target, cpu time.Duration) error {
	if n := direct.failed.Load() + viaEntry.failed.Load(); n > 0 {
		return eris.Errorf("%s: %d requests failed", name, n)
	}
	a, b := direct.latencies, viaEntry.latencies
	fmt.Printf("%-22s straight p50 %d µs p99 %d µs, through p50 %d µs p99 %d µs, added p50 %d µs p99 %d µs, %.0f µs of processor time a request, n %d\n",
		name, a.ValueAtQuantile(50), a.ValueAtQuantile(99), b.ValueAtQuantile(50), b.ValueAtQuantile(99),
		b.ValueAtQuantile(50)-a.ValueAtQuantile(50), b.ValueAtQuantile(99)-a.ValueAtQuantile(99),
		float64(cpu.Microseconds())/float64(b.TotalCount()), b.TotalCount())
	return nil
}

// target sends one request at a rate and records its latencies.
type target struct {
	request   request
	client    *fasthttp.HostClient
	failed    atomic.Int64
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func newTarget(r request) *target {
	return &target{
		request:   r,
		client:    &fasthttp.HostClient{Addr: r.address, MaxConns: 4096, MaxIdemponentCallAttempts: 1},
		latencies: newHistogram(),
	}
}

// senders is the number of sending goroutines. Each sends every senders-th request, so
// that a late response delays only that goroutine's next request.
const senders = 128

func (t *target) drive(rate int, length time.Duration) {
	start := time.Now()
	step := time.Second / time.Duration(rate)
	total := int(length / step)
	var wg conc.WaitGroup
	for k := range senders {
		wg.Go(func() {
			for i := k; i < total; i += senders {
				due := start.Add(time.Duration(i) * step)
				time.Sleep(time.Until(due))
				t.send(due)
			}
		})
	}
	wg.Wait()
}

func (t *target) send(due time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(t.request.method)
	req.SetRequestURI("http://" + t.request.address + t.request.path)
	req.SetBodyRaw(t.request.body)
	if err := t.client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.failed.Add(1)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latencies.RecordValue(max(1, time.Since(due).Microseconds()))
}
