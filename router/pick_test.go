package router

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/upstream"
)

var testNow = time.Unix(1_700_000_000, 0)

func engine(name string, change func(*Upstream)) Upstream {
	u := Upstream{
		Name: name, Kind: infra.KindEngine, Pool: "p", DataCentre: "dc", Models: []string{"m"},
		Role: upstream.RoleMixed, ReportAt: testNow,
		Report: upstream.LoadReport{InService: true, PrefillPerSecond: 5000, DecodePerSecond: 640, MaxBatch: 32, KVTotalTokens: 60000},
	}
	if change != nil {
		change(&u)
	}
	return u
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func testConfig() Config {
	cfg := DefaultConfig("dc")
	cfg.Links = []Link{{"dc", "far", time.Millisecond}}
	return cfg
}

func TestPick(t *testing.T) {
	request := Request{Pool: "p", Model: "m", PromptTokens: 500, OutputTokens: 50}
	with := func(change func(*Request)) Request {
		r := request
		change(&r)
		return r
	}
	cases := []struct {
		name string
		ups  []Upstream
		r    Request
		want string
		lack NoUpstreamReason
	}{
		{"unknown pool", nil, request, "", NoUpstreamUnknownPool},
		{"unknown model", []Upstream{engine("a", nil)}, with(func(r *Request) { r.Model = "x" }), "", NoUpstreamUnknownModel},
		{"terminating", []Upstream{engine("a", func(u *Upstream) { u.Terminating = true })}, request, "", NoUpstreamDraining},
		{"draining skipped", []Upstream{engine("a", func(u *Upstream) { u.Draining = true }), engine("b", nil)}, request, "b", ""},
		{"out of service", []Upstream{engine("a", func(u *Upstream) { u.Report.InService = false })}, request, "", NoUpstreamOutOfService},
		{"ejected skipped", []Upstream{engine("a", func(u *Upstream) { u.Ejected = true }), engine("b", nil)}, request, "b", ""},
		{"all ejected", []Upstream{engine("a", func(u *Upstream) { u.Ejected = true })}, request, "", NoUpstreamEjected},
		{"not as a probe", []Upstream{engine("a", func(u *Upstream) { u.Probing = true }), engine("b", func(u *Upstream) { u.Report.QueuedPrompt = 9000 })},
			with(func(r *Request) { r.NoProbe = true }), "b", ""},
		{"as a probe if no others remain", []Upstream{engine("a", func(u *Upstream) { u.Probing = true })},
			with(func(r *Request) { r.NoProbe = true }), "a", ""},
		{"excluded", []Upstream{engine("a", nil)}, with(func(r *Request) { r.Exclude = []string{"a"} }), "", NoUpstreamExcluded},
		{"isolated", []Upstream{engine("a", nil), engine("b", nil)},
			with(func(r *Request) { r.MayRunOn = func(e string) bool { return e == "b" } }), "b", ""},
		{"too large for any KV memory", []Upstream{engine("a", nil)}, with(func(r *Request) { r.PromptTokens = 70000 }), "", NoUpstreamKVMemory},
		{"shorter queue", []Upstream{engine("a", func(u *Upstream) { u.Report.QueuedPrompt = 9000 }), engine("b", nil)}, request, "b", ""},
		{"full KV memory counts as a queue", []Upstream{engine("a", func(u *Upstream) { u.Report.KVUsedTokens = 59900; u.Report.Running = 9 }), engine("b", func(u *Upstream) { u.Report.Running = 9 })}, request, "b", ""},
		{"local work corrects the report", []Upstream{engine("a", func(u *Upstream) { u.LocalDelta.PromptTokens = 9000; u.InFlight = 3; u.LocalDelta.Requests = 3 }), engine("b", nil)}, request, "b", ""},
		{"local first", []Upstream{engine("a", func(u *Upstream) { u.DataCentre = "far" }), engine("b", func(u *Upstream) { u.Report.Running = 1 })}, request, "b", ""},
		{"remote if the local queue costs more", []Upstream{engine("a", func(u *Upstream) { u.DataCentre = "far" }), engine("b", func(u *Upstream) { u.Report.QueuedPrompt = 5000 })}, request, "a", ""},
		{"failures cost", []Upstream{engine("a", func(u *Upstream) { u.FailureRate = 0.4 }), engine("b", nil)}, request, "b", ""},
		{"slower than reported", []Upstream{engine("a", func(u *Upstream) { u.GapFactor = 1.5 }), engine("b", nil)}, request, "b", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plan, err := Pick(NewSnapshot(testConfig(), c.ups, nil), c.r, testNow, testRand())
			if c.want != "" {
				require.NoError(t, err)
				require.Equal(t, c.want, plan.Engine)
				return
			}
			var none *NoUpstreamError
			require.True(t, errors.As(err, &none), "%v", err)
			require.Equal(t, c.lack, none.Reason)
		})
	}
}

// A short cached prefix must not draw a request to a long queue, and a long cached
// prompt must not be prefilled again to avoid a short wait.
func TestPrefixAgainstQueue(t *testing.T) {
	cfg := testConfig()
	blocks := make([]uint64, 250) // 4000 tokens, 0.8 s of prefill
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	for _, c := range []struct {
		queued int
		want   string
	}{{1500, "a"}, {15000, "b"}} {
		cache := NewPrefixIndex(1000, time.Minute)
		cache.addPredicted(0, blocks, testNow)
		s := NewSnapshot(cfg, []Upstream{engine("a", func(u *Upstream) { u.Report.QueuedPrompt = c.queued }), engine("b", nil)}, cache)
		plan, err := Pick(s, Request{Pool: "p", Model: "m", PromptTokens: 4000, OutputTokens: 20, PrefixBlocks: blocks}, testNow, testRand())
		require.NoError(t, err)
		require.Equal(t, c.want, plan.Engine, "queue of %d", c.queued)
	}
}

// A request is split if the prompt is long and many tokens follow, and not if the
// prompt is short, the link is slow or the prefill engine has a queue.
func TestSplit(t *testing.T) {
	fleet := func(queued int) []Upstream {
		return []Upstream{
			engine("pre", func(u *Upstream) {
				u.Role = upstream.RolePrefill
				u.Report.PrefillPerSecond, u.Report.DecodePerSecond, u.Report.QueuedPrompt = 8000, 266, queued
			}),
			engine("dec", func(u *Upstream) {
				u.Role = upstream.RoleDecode
				u.Report.PrefillPerSecond, u.Report.DecodePerSecond, u.Report.Running = 2000, 1066, 8
			}),
		}
	}
	cases := []struct {
		name           string
		prompt, queued int
		link           float64
		split          bool
	}{
		{"long prompt", 4000, 0, 1e10, true},
		{"short prompt", 100, 0, 1e10, false},
		{"slow KV transfer", 4000, 0, 1e6, false},
		{"prefill queue", 4000, 400000, 1e10, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.KVTransferBytesPerSecond = c.link
			plan, err := Pick(NewSnapshot(cfg, fleet(c.queued), nil), Request{Pool: "p", Model: "m", PromptTokens: c.prompt, OutputTokens: 200}, testNow, testRand())
			require.NoError(t, err)
			require.Equal(t, c.split, plan.Prefill == "pre" && plan.Engine == "dec", "%+v", plan)
		})
	}
}

// In a group that is sampled rather than scanned, the only usable engine must
// still be found.
func TestPickFindsTheLastOfMany(t *testing.T) {
	ups := make([]Upstream, 500)
	for i := range ups {
		ups[i] = engine(fmt.Sprintf("e%03d", i), func(u *Upstream) { u.Draining = i != 321 })
	}
	plan, err := Pick(NewSnapshot(testConfig(), ups, nil), Request{Pool: "p", Model: "m", PromptTokens: 10}, testNow, testRand())
	require.NoError(t, err)
	require.Equal(t, "e321", plan.Engine)
}

func benchmarkFleet(n int) *Tracker {
	cfg := DefaultConfig("dc0")
	ups := make([]Upstream, n)
	for i := range ups {
		ups[i] = engine(fmt.Sprintf("e%04d", i), func(u *Upstream) {
			u.DataCentre = fmt.Sprintf("dc%d", i%10)
			u.Report.QueuedPrompt = i * 7919 % 5000
			u.Report.Running = i % 32
		})
	}
	for i := range 10 {
		cfg.Links = append(cfg.Links, Link{"dc0", fmt.Sprintf("dc%d", i), time.Millisecond})
	}
	return NewTracker(cfg, ups, nil)
}

func BenchmarkPick(b *testing.B) {
	blocks := AppendPrefixBlocks(nil, wordsOf(2000))
	for _, n := range []int{11, 200, 7000} {
		tr := benchmarkFleet(n)
		r := Request{Pool: "p", Model: "m", PromptTokens: 2000, OutputTokens: 100, PrefixBlocks: blocks, Deadline: time.Now().Add(time.Hour)}
		for i := range min(n, 8) {
			tr.cache.addPredicted(int32(i), blocks[:10*(i+1)], time.Now())
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := tr.Pick(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkPickAndTrack(b *testing.B) {
	tr := benchmarkFleet(200)
	r := Request{Pool: "p", Model: "m", PromptTokens: 2000, OutputTokens: 100}
	b.ReportAllocs()
	for b.Loop() {
		plan, _ := tr.Pick(r)
		k := tr.Begin(plan, r)
		k.FirstToken()
		k.Tokens(1)
		k.End(OutcomeOK)
	}
}

func wordsOf(n int) string {
	out := make([]byte, 0, 6*n)
	for i := range n {
		out = fmt.Appendf(out, "w%04d ", i)
	}
	return string(out)
}

func BenchmarkPrefixBlocks(b *testing.B) {
	prompt := wordsOf(2000)
	dst := make([]uint64, 0, 200)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		dst = AppendPrefixBlocks(dst[:0], prompt)
	}
}
