package claim_test

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"tamarackchute/claim"
	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
)

// The parameters of the benchmarks' log.
const (
	benchAppendsPerSecond = 300
	benchLogLatency       = 2 * time.Millisecond
)

// fleet is a number of instances that share one log, in real time.
type fleet struct {
	log    *journaltest.Log
	guards []*claim.Guard
	mu     sync.Mutex
	took   *hdrhistogram.Histogram
}

func startFleet(b *testing.B, n int, cfg journal.Config) *fleet {
	log := journaltest.NewLog()
	log.SetLatency(benchLogLatency)
	log.SetRate(benchAppendsPerSecond, benchAppendsPerSecond/10)
	f := &fleet{log: log, took: hdrhistogram.New(1, 60_000_000, 3)}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	cfg.AppendsPerSecond = benchAppendsPerSecond / float64(n)
	cfg.Logger = slog.New(slog.DiscardHandler)
	for i := range n {
		cfg.Writer = fmt.Sprint("instance", i)
		j := journal.New(log, cfg)
		g, err := claim.NewGuard(j, claim.Config{Writer: cfg.Writer, ClaimTimeout: 20 * time.Second})
		require.NoError(b, err)
		j.Register(journal.KindClaim, g)
		go func() { _ = j.Serve(ctx) }()
		go func() { _ = g.Serve(ctx) }()
		<-j.CaughtUp()
		f.guards = append(f.guards, g)
	}
	return f
}

// call makes the i-th call. Its dispatch takes no time, so all of the measured
// time is added latency.
func (f *fleet) call(b *testing.B, i int) {
	s := &service{}
	start := time.Now()
	r := f.guards[i%len(f.guards)].Do(context.Background(), fmt.Sprint("key", i), 1, s.book)
	took := time.Since(start)
	if _, ok := r.(claim.Done); !ok {
		b.Errorf("call %d: %#v", i, r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.took.RecordValue(took.Microseconds())
}

func (f *fleet) report(b *testing.B, took time.Duration) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(b.N)/took.Seconds(), "calls/s")
	b.ReportMetric(float64(f.took.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(f.took.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(f.log.Appends())/took.Seconds(), "appends/s")
}

var commits = []struct {
	name string
	cfg  journal.Config
}{
	{"batch of 1", journal.Config{MaxBatchEntries: 1}},
	{"batched", journal.Config{}},
	{"batched, linger 5 ms", journal.Config{Linger: 5 * time.Millisecond}},
}

// BenchmarkSustained measures calls from 64 concurrent callers per instance.
func BenchmarkSustained(b *testing.B) {
	for _, n := range []int{1, 7} {
		for _, c := range commits {
			b.Run(fmt.Sprintf("%d instances/%s", n, c.name), func(b *testing.B) {
				f := startFleet(b, n, c.cfg)
				callers := pool.New().WithMaxGoroutines(64 * n)
				b.ResetTimer()
				start := time.Now()
				for i := range b.N {
					callers.Go(func() { f.call(b, i) })
				}
				callers.Wait()
				f.report(b, time.Since(start))
			})
		}
	}
}

// BenchmarkOffered measures calls that arrive at a steady rate.
func BenchmarkOffered(b *testing.B) {
	for _, rate := range []int{20, 100, 1000} {
		for _, n := range []int{1, 7} {
			for _, c := range commits {
				if c.cfg.MaxBatchEntries == 1 && rate > benchAppendsPerSecond/2 {
					continue // needs two appends a call
				}
				b.Run(fmt.Sprintf("%d a second/%d instances/%s", rate, n, c.name), func(b *testing.B) {
					f := startFleet(b, n, c.cfg)
					calls := pool.New()
					tick := time.NewTicker(time.Second / time.Duration(rate))
					defer tick.Stop()
					b.ResetTimer()
					start := time.Now()
					for i := range b.N {
						<-tick.C
						calls.Go(func() { f.call(b, i) })
					}
					calls.Wait()
					f.report(b, time.Since(start))
				})
			}
		}
	}
}

// completedCalls returns the claim and the outcome of each of n calls.
func completedCalls(env claim.Env, n int) []journal.Entry {
	entries := make([]journal.Entry, 0, 2*n)
	for i := range n {
		core := claim.NewCore(claim.Config{}, env.Now)
		id, step := core.Start(env, claim.ParseKey(fmt.Sprint("key", i)), 1)
		entry := step.(claim.ClaimStep).Entry
		core.Apply(journal.LogEntry{Position: journal.Position{Offset: 1}, At: env.Now, Entry: entry})
		core.Claimed(env, id, claim.Appended)
		core.Confirm(env, id, false)
		core.Dispatched(env, id, claim.Response{Status: 201, Body: []byte(`{"booking":"1234567"}`)}, claim.DispatchCompleted)
		entries = append(entries, entry, core.Outbox()[0].Entry)
	}
	return entries
}

// BenchmarkFold measures how fast claims and their outcomes are folded, and the
// memory that a key takes with its response and after the response has expired.
func BenchmarkFold(b *testing.B) {
	const keys = 200_000
	env := claim.Env{Now: time.Unix(1_700_000_000, 0), LogUp: true}
	entries := completedCalls(env, keys)
	for b.Loop() {
		before := heap()
		l := claim.NewLedger(claim.Config{})
		start := time.Now()
		for i, e := range entries {
			l.Apply(journal.LogEntry{Position: journal.Position{Offset: 1, Index: uint16(i)}, At: env.Now, Entry: e})
		}
		took := time.Since(start)
		full := heap() - before
		l.Apply(journal.LogEntry{At: env.Now.Add(2 * time.Hour), Entry: entries[0]}) // responses expire
		b.ReportMetric(float64(len(entries))/took.Seconds(), "entries/s")
		b.ReportMetric(float64(full)/keys, "B/key-with-answer")
		b.ReportMetric(float64(heap()-before)/keys, "B/key")
		runtime.KeepAlive(l)
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCatchUp measures how long a new instance takes to read a log of
// 100,000 records with two entries each.
func BenchmarkCatchUp(b *testing.B) {
	const records = 100_000
	env := claim.Env{Now: time.Now(), LogUp: true}
	entries := completedCalls(env, records)
	log := journaltest.NewLog()
	log.SetLatency(benchLogLatency)
	for i := range records {
		data, err := journal.EncodeRecord("instance", entries[2*i:2*i+2])
		require.NoError(b, err)
		log.Put(data)
	}
	for b.Loop() {
		ctx, cancel := context.WithCancel(context.Background())
		j := journal.New(log, journal.Config{Logger: slog.New(slog.DiscardHandler)})
		g, err := claim.NewGuard(j, claim.Config{})
		require.NoError(b, err)
		j.Register(journal.KindClaim, g)
		go func() { _ = j.Serve(ctx) }()
		<-j.CaughtUp()
		cancel()
		require.Equal(b, records, g.Stats().Keys)
	}
	b.ReportMetric(records*float64(b.N)/b.Elapsed().Seconds(), "records/s")
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
