package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_700_000_000, 0)

// testClock is a clock that tests advance.
type testClock struct{ at time.Time }

func (c *testClock) now() time.Time { return c.at }

func newTest(change func(*Config)) (*Controller, *testClock) {
	clock := &testClock{testStart}
	cfg := DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	return New(cfg, clock.now), clock
}

var oneEngine = Capacity{Engines: 1, Entries: 1, PrefillPerSecond: 5000, DecodePerSecond: 500}

// longRequest returns a request with half a second of prefill and a second in total.
func longRequest(org string, left time.Duration, at time.Time) Request {
	return Request{Pool: "p", Model: "m", Organisation: org, Class: ClassLong, PromptTokens: 2500, OutputTokens: 50,
		Deadline: at.Add(left), Estimate: Estimate{FirstToken: 500 * time.Millisecond, Complete: time.Second}}
}

func shortRequest(org string, left time.Duration, at time.Time) Request {
	return Request{Pool: "p", Model: "m", Organisation: org, Class: ClassShort, PromptTokens: 100, OutputTokens: 10,
		Deadline: at.Add(left), Estimate: Estimate{FirstToken: 20 * time.Millisecond, Complete: 200 * time.Millisecond}}
}

func submit(t *testing.T, c *Controller, r Request) *Pending {
	t.Helper()
	p, err := c.Submit(r)
	require.NoError(t, err)
	return p
}

func granted(t *testing.T, p *Pending) *Grant {
	t.Helper()
	g, ok, err := p.Poll()
	require.NoError(t, err)
	if !ok {
		return nil
	}
	return g
}

func refusal(t *testing.T, err error) *Refusal {
	t.Helper()
	var r *Refusal
	require.ErrorAs(t, err, &r)
	return r
}

func TestRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name   string
		set    func(c *Controller)
		change func(*Request)
		want   Reason
	}{
		{"deadline shorter than the response", nil, func(r *Request) { r.Deadline = testStart.Add(100 * time.Millisecond) }, ReasonDeadline},
		{"no engine", func(c *Controller) { c.SetCapacity("p", "m", Capacity{}) }, nil, ReasonNoCapacity},
		{"queue full", func(c *Controller) { c.cfg.MaxQueued = 0 }, nil, ReasonQueueFull},
		{"stopping", func(c *Controller) { c.Stop() }, nil, ReasonShuttingDown},
		{"rate", func(c *Controller) {
			r := shortRequest("o", time.Minute, testStart)
			r.Limits = []Limit{{Rule: "slow", RequestsPerSecond: 1}}
			_, _ = c.Submit(r)
		}, func(r *Request) { r.Limits = []Limit{{Rule: "slow", RequestsPerSecond: 1}} }, ReasonRate},
		{"concurrent for each organisation", func(c *Controller) {
			for _, org := range []string{"o", "other"} {
				r := shortRequest(org, time.Minute, testStart)
				r.Limits = []Limit{{Rule: "few", Concurrent: 1, PerOrganisation: true}}
				if _, err := c.Submit(r); err != nil {
					panic(err)
				}
			}
		}, func(r *Request) { r.Limits = []Limit{{Rule: "few", Concurrent: 1, PerOrganisation: true}} }, ReasonConcurrent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctrl, _ := newTest(nil)
			if c.set != nil {
				c.set(ctrl)
			}
			r := shortRequest("o", time.Minute, testStart)
			if c.change != nil {
				c.change(&r)
			}
			_, err := ctrl.Submit(r)
			ref := refusal(t, err)
			require.Equal(t, c.want, ref.Reason)
			require.Positive(t, ref.RetryAfter)
		})
	}
}

// Long requests fill an engine's queue. A short request that arrives must start at
// once, ahead of all waiting long ones.
func TestShortIsNotHeldBehindLong(t *testing.T) {
	c, clock := newTest(nil)
	c.SetCapacity("p", "m", oneEngine)
	for i := range 20 {
		submit(t, c, longRequest(fmt.Sprint(i), time.Hour, clock.at))
	}
	require.NotNil(t, granted(t, submit(t, c, shortRequest("crew", 2*time.Second, clock.at))))
}

// The queue is long and drains at a known rate. A request that would wait past its
// deadline must be refused at once with a retry delay; one with more time must be
// accepted.
func TestEarlyRefusalAndRetryAfter(t *testing.T) {
	c, clock := newTest(nil)
	c.SetCapacity("p", "m", oneEngine)
	var waiting []*Pending
	for range 30 {
		waiting = append(waiting, submit(t, c, longRequest("a", time.Hour, clock.at)))
	}
	drain := func(n int) { // one long request a second
		for range n {
			clock.at = clock.at.Add(time.Second)
			for _, p := range waiting {
				if g := granted(t, p); g != nil {
					g.FirstToken()
					g.Release(ResultCompleted, 50)
					break
				}
			}
		}
	}
	drain(10)
	_, err := c.Submit(longRequest("a", 5*time.Second, clock.at))
	ref := refusal(t, err)
	require.Equal(t, ReasonDeadline, ref.Reason)
	require.InDelta(t, 20, ref.ExpectedWait.Seconds(), 7, "about twenty wait, one starts each second")
	require.InDelta(t, 16, ref.RetryAfter.Seconds(), 7)
	submit(t, c, longRequest("a", time.Minute, clock.at))
}

// The engine stalls after requests were accepted. Those that can no longer meet
// their deadlines must be refused as soon as that is clear, not at the deadline.
func TestWaitingIsRefusedOnceDeadlineIsUnmeetable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(DefaultConfig(), nil)
		c.SetCapacity("p", "m", oneEngine)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = c.Serve(ctx) }()
		start := time.Now()
		for i := range 5 {
			_, _ = c.Submit(longRequest(fmt.Sprint(i), time.Hour, start))
		}
		_, err := c.Acquire(ctx, longRequest("z", 3*time.Second, start))
		ref := refusal(t, err)
		require.Equal(t, ReasonDeadline, ref.Reason)
		require.LessOrEqual(t, time.Since(start), 2*time.Second+sweepPeriod, "the response itself needs a second")

		short, cancelShort := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancelShort()
		_, err = c.Acquire(short, longRequest("z", time.Hour, time.Now()))
		require.Equal(t, ReasonCancelled, refusal(t, err).Reason)
		require.Equal(t, 4, c.Counts().Waiting)
	})
}

// An engine slows down after requests were accepted: one goes every ten seconds
// rather than every second. The last in the queue have half a minute left but will
// miss their deadlines. Refused now, their callers can go elsewhere.
func TestUnmeetableDeadlineIsRefusedEarly(t *testing.T) {
	c, clock := newTest(nil)
	c.SetCapacity("p", "m", oneEngine)
	var waiting []*Pending
	for range 10 {
		waiting = append(waiting, submit(t, c, longRequest("a", time.Minute, clock.at)))
	}
	refused := 0
	var running *Grant
	for s := range 30 {
		clock.at = clock.at.Add(time.Second)
		for _, p := range waiting {
			g, ok, err := p.Poll()
			if err != nil {
				require.Equal(t, ReasonDeadline, refusal(t, err).Reason)
				refused++
			} else if ok {
				running = g
			}
		}
		if s%10 == 9 {
			running.FirstToken()
		}
		c.Sweep()
	}
	require.GreaterOrEqual(t, refused, 2)
	require.LessOrEqual(t, refused, 6, "six can still meet their deadlines")
}

// One organisation floods the queue. The others' shares must not shrink with its
// queue, and while they are idle it must get everything.
func TestFairShares(t *testing.T) {
	q := newFairQueue(100)
	for range 300 {
		q.push(&item{org: "flood", cost: 1})
	}
	for range 30 {
		q.push(&item{org: "big", cost: 3})
		q.push(&item{org: "small", cost: 1})
	}
	served := map[string]float64{}
	for range 50 {
		it := q.pop()
		served[it.org] += it.cost
	}
	for _, org := range []string{"flood", "big", "small"} {
		require.InDelta(t, 64.0/3, served[org], 2, "%v", served)
	}
	for range 60 {
		q.pop()
	}
	for range 10 {
		q.push(&item{org: "late", cost: 1})
	}
	late := 0
	for range 10 {
		if q.pop().org == "late" {
			late++
		}
	}
	require.InDelta(t, 5, late, 1, "a late arrival gets no compensation")
	for q.len > 0 {
		q.pop()
	}
	q.push(&item{org: "flood", cost: 1})
	require.Equal(t, "flood", q.pop().org, "work-conserving")
}

// An organisation that sends its next request only after the previous one was served
// never has two waiting. It must not overtake another's queue at every turn.
func TestSingleWaitingRequestGetsFairShare(t *testing.T) {
	q := newFairQueue(100)
	for range 40 {
		q.push(&item{org: "queue", cost: 1})
	}
	q.push(&item{org: "single", cost: 1})
	single := 0
	for range 20 {
		if q.pop().org == "single" {
			single++
			q.push(&item{org: "single", cost: 1})
		}
	}
	require.InDelta(t, 10, single, 1)
}

// For any order of push, pop and remove: no request is lost or served twice, higher
// priority goes first, and the sums are consistent.
func TestFairQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newFairQueue(3)
		var in []*item
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				it := &item{org: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "org"),
					priority: rapid.IntRange(0, 2).Draw(t, "priority"), cost: float64(rapid.IntRange(1, 9).Draw(t, "cost"))}
				q.push(it)
				in = append(in, it)
			case 2:
				if len(in) > 0 {
					i := rapid.IntRange(0, len(in)-1).Draw(t, "which")
					q.remove(in[i])
					in = append(in[:i], in[i+1:]...)
				}
			default:
				it := q.pop()
				if it == nil {
					require.Empty(t, in)
					continue
				}
				at := -1
				for i, x := range in {
					require.LessOrEqual(t, x.priority, it.priority)
					if x == it {
						at = i
					}
				}
				require.GreaterOrEqual(t, at, 0)
				in = append(in[:at], in[at+1:]...)
			}
			sum, visited := 0.0, 0
			for _, x := range in {
				sum += x.cost
			}
			q.visit(func(*item, float64) { visited++ })
			require.Equal(t, len(in), q.len)
			require.Equal(t, len(in), visited)
			require.InDelta(t, sum, q.cost, 1e-6)
		}
	})
}

// With many concurrent callers that arrive, wait, cancel and end, every request must
// be decided once, and all window and limit places must be given back.
func TestControllerUnderManyCallers(t *testing.T) {
	c := New(DefaultConfig(), nil)
	c.SetCapacity("p", "m", oneEngine)
	done := make(chan int)
	for g := range 16 {
		go func() {
			rnd := rand.New(rand.NewPCG(uint64(g), 1))
			for range 200 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rnd.IntN(3))*time.Millisecond)
				r := longRequest(fmt.Sprint(rnd.IntN(5)), time.Hour, time.Now())
				r.Limits = []Limit{{Rule: "r", Concurrent: 1000}}
				grant, err := c.Acquire(ctx, r)
				if err == nil {
					if rnd.IntN(2) == 0 {
						grant.FirstToken()
					}
					grant.Release(Result(rnd.IntN(3)), 10)
					grant.Release(ResultCompleted, 10)
				}
				cancel()
			}
			done <- g
		}()
	}
	for range 16 {
		<-done
	}
	p := c.pool("p", "m")
	require.Zero(t, c.Counts().Waiting)
	require.Zero(t, p.classes[1].window.requests)
	require.Zero(t, p.classes[1].window.outstanding)
	require.Empty(t, c.limits.running)
}

// A fault fails every attempt. Unlimited retries would double the load on the
// remaining upstreams.
func TestRetryBudget(t *testing.T) {
	c, clock := newTest(nil)
	retries := 0
	for range 1000 {
		clock.at = clock.at.Add(10 * time.Millisecond)
		submit(t, c, shortRequest("o", time.Hour, clock.at))
		if c.MayRetry() {
			retries++
		}
	}
	require.InDelta(t, 115, retries, 6, "a tenth, the initial half of the bucket, and one every two seconds")
}

func BenchmarkAcquire(b *testing.B) {
	for _, orgs := range []int{1000, 47000} {
		for _, waiting := range []int{0, 1500} {
			b.Run(fmt.Sprintf("organisations=%d/waiting=%d", orgs, waiting), func(b *testing.B) {
				c, clock := newTest(nil)
				c.SetCapacity("p", "m", Capacity{Engines: 11, Entries: 7, PrefillPerSecond: 55000, DecodePerSecond: 7000})
				names := make([]string, orgs)
				for i := range names {
					names[i] = fmt.Sprintf("org-%05d", i)
				}
				for i := range waiting {
					_, _ = c.Submit(longRequest(names[i%orgs], time.Hour, clock.at))
				}
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					i++
					clock.at = clock.at.Add(time.Millisecond)
					r := shortRequest(names[i*7919%orgs], time.Hour, clock.at)
					r.Limits = []Limit{{Rule: "r", RequestsPerSecond: 1e6, PerOrganisation: true}}
					p, err := c.Submit(r)
					if err != nil {
						b.Fatal(err)
					}
					if g, ok, _ := p.Poll(); ok {
						g.FirstToken()
						g.Release(ResultCompleted, 10)
					}
				}
			})
		}
	}
}

func BenchmarkSweep(b *testing.B) {
	c, clock := newTest(nil)
	c.SetCapacity("p", "m", oneEngine)
	for i := range 2000 {
		_, _ = c.Submit(longRequest(fmt.Sprint(i%300), time.Hour, clock.at))
	}
	for b.Loop() {
		c.Sweep()
	}
}
