package router_test

import (
	"math/rand/v2"
	"sort"
	"time"

	"tamarackchute/admission"
	"tamarackchute/infra"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

// The fakes simulate a fleet without goroutines: engines that batch in steps like
// the stand-in, and entries that are a tracker and an admission controller each.
// The clock advances in ticks.

const tick = 5 * time.Millisecond

// job is one simulated request.
type job struct {
	class                  string
	prompt, out            int
	promptLeft, outputLeft int
	arrived, deadline      time.Time
	entry                  *fakeEntry
	pending                *admission.Pending
	grant                  *admission.Grant
	ticket                 *router.Ticket
	engine, decode         *fakeEngine
	prefillOnly, ended     bool
	withinDeadline         bool
	first                  time.Time
	refused                bool
}

// fakeEngine models the stand-in: chunked prefill in order of arrival, and one
// token per step for each stream.
type fakeEngine struct {
	name                 string
	role                 upstream.Role
	prefill              float64
	stepSingle, stepFull float64
	dead                 bool
	kvTotal, kvUsed      int
	waiting, running     []*job
	chunks               map[*job]int
	busyUntil            time.Time
	reports              []upstream.LoadReport
	reportsAt            []time.Time
}

const (
	fakeBatch               = 32
	fakeChunk               = 256
	fakeChunkWithoutStreams = 1024
)

func newFakeEngine(name string, role upstream.Role) *fakeEngine {
	e := &fakeEngine{name: name, role: role, prefill: 8000, stepSingle: 0.015, stepFull: 0.030, kvTotal: 60000}
	switch role {
	case upstream.RolePrefill:
		e.stepSingle, e.stepFull = e.stepSingle/0.25, e.stepFull/0.25
	case upstream.RoleDecode:
		e.prefill *= 0.25
	default:
		e.prefill *= 0.6
		e.stepSingle, e.stepFull = e.stepSingle/0.6, e.stepFull/0.6
	}
	return e
}

func (e *fakeEngine) report(now time.Time) {
	queued := 0
	for _, j := range append(append([]*job(nil), e.waiting...), e.running...) {
		queued += j.promptLeft
	}
	e.reports = append(e.reports, upstream.LoadReport{
		Role: e.role, InService: true, Running: len(e.running), Waiting: len(e.waiting), QueuedPrompt: queued,
		KVUsedTokens: e.kvUsed, KVTotalTokens: e.kvTotal, MaxBatch: fakeBatch,
		PrefillPerSecond: e.prefill, DecodePerSecond: fakeBatch / e.stepFull,
	})
	e.reportsAt = append(e.reportsAt, now)
}

func (e *fakeEngine) step(now time.Time) {
	if e.dead || now.Before(e.busyUntil) {
		return
	}
	e.finishStep(now)
	for len(e.running) < fakeBatch && len(e.waiting) > 0 && e.kvUsed+e.waiting[0].prompt+e.waiting[0].out <= e.kvTotal {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		e.kvUsed += j.prompt + j.out
	}
	decoding := 0
	for _, j := range e.running {
		if j.promptLeft == 0 {
			decoding++
		}
	}
	budget := fakeChunkWithoutStreams
	if decoding > 0 {
		budget = fakeChunk
	}
	e.chunks = map[*job]int{}
	took := 0.0
	for _, j := range e.running {
		n := min(j.promptLeft, budget)
		if n > 0 {
			e.chunks[j] = n
			budget -= n
			took += float64(n) / e.prefill
		}
	}
	if decoding > 0 {
		took += e.stepSingle + (e.stepFull-e.stepSingle)*float64(decoding-1)/(fakeBatch-1)
	}
	if took > 0 {
		d := time.Duration(took * float64(time.Second))
		e.busyUntil = now.Add(d)
	}
}

func (e *fakeEngine) finishStep(now time.Time) {
	if e.chunks == nil {
		return
	}
	for _, j := range append([]*job(nil), e.running...) {
		j.promptLeft -= e.chunks[j]
		if j.promptLeft > 0 {
			continue
		}
		if j.prefillOnly {
			e.drop(j)
			j.startDecode(now)
			continue
		}
		j.outputLeft--
		if j.first.IsZero() {
			j.first = now
			j.ticket.FirstToken()
			if j.grant != nil {
				j.grant.FirstToken()
			}
		}
		j.ticket.Tokens(1)
		if j.outputLeft == 0 {
			e.drop(j)
			j.withinDeadline = !now.After(j.deadline)
			j.end(router.OutcomeOK, admission.ResultCompleted)
		}
	}
	e.chunks = nil
}

func (e *fakeEngine) drop(j *job) {
	for i, r := range e.running {
		if r == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.kvUsed -= j.prompt + j.out
			return
		}
	}
	for i, r := range e.waiting {
		if r == j {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

func (j *job) startDecode(now time.Time) {
	j.ticket.PrefillDone()
	j.prefillOnly = false
	j.engine = j.decode
	j.promptLeft = 1
	j.decode.waiting = append(j.decode.waiting, j)
}

func (j *job) end(o router.Outcome, r admission.Result) {
	j.ended = true
	j.ticket.End(o)
	j.release(r)
}

func (j *job) release(r admission.Result) {
	if j.grant != nil {
		j.grant.Release(r, j.out-j.outputLeft)
	}
}

// fakeEntry is one entry instance.
type fakeEntry struct {
	tracker   *router.Tracker
	admission *admission.Controller
	waiting   []*job
	running   []*job
}

// fleet is a set of entries and engines with one clock.
type fleet struct {
	now     time.Time
	rnd     *rand.Rand
	engines []*fakeEngine
	byName  map[string]*fakeEngine
	entries []*fakeEntry
	lag     time.Duration
	jobs    []*job
	// direct bypasses admission control.
	direct bool
	// imbalance sums, over the reports, the largest number of requests at any
	// engine; mean sums the mean number.
	imbalance, mean float64
}

func newFleet(seed uint64, roles []upstream.Role, entries int, cfg router.Config, lag time.Duration) *fleet {
	f := &fleet{now: time.Unix(1e9, 0), rnd: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*fakeEngine{}, lag: lag}
	var ups []router.Upstream
	for i, role := range roles {
		e := newFakeEngine(string(rune('a'+i)), role)
		f.engines = append(f.engines, e)
		f.byName[e.name] = e
		ups = append(ups, router.Upstream{Name: e.name, Kind: infra.KindEngine, Pool: "p", DataCentre: "dc",
			Models: []string{"m"}, Role: role})
	}
	defer f.reportAll()
	clock := func() time.Time { return f.now }
	for range entries {
		f.entries = append(f.entries, &fakeEntry{
			tracker:   router.NewTracker(cfg, ups, clock),
			admission: admission.New(admission.DefaultConfig(), clock),
		})
	}
	return f
}

// arrive creates a request at a random entry.
func (f *fleet) arrive(class string, prompt, out int, limit time.Duration) {
	j := &job{class: class, prompt: prompt, out: out, promptLeft: prompt, outputLeft: out, arrived: f.now,
		deadline: f.now.Add(limit), entry: f.entries[f.rnd.IntN(len(f.entries))]}
	f.jobs = append(f.jobs, j)
	if f.direct {
		f.dispatch(j)
		return
	}
	plan, err := router.Pick(j.entry.tracker.Snapshot(), j.request(), f.now, f.rnd)
	if err != nil {
		j.refused = true
		return
	}
	priority := 0
	if class == "short" {
		priority = 1
	}
	j.pending, err = j.entry.admission.Submit(admission.Request{Pool: "p", Model: "m", Organisation: class,
		PromptTokens: prompt, OutputTokens: out, Priority: priority, Deadline: j.deadline,
		Estimate: admission.Estimate(plan.Estimate)})
	if err != nil {
		j.refused = true
		return
	}
	j.entry.waiting = append(j.entry.waiting, j)
}

func (j *job) request() router.Request {
	return router.Request{Pool: "p", Model: "m", PromptTokens: j.prompt, OutputTokens: j.out, Deadline: j.deadline}
}

// poll dispatches the requests that admission has granted.
func (f *fleet) poll(e *fakeEntry) {
	waiting := e.waiting[:0]
	for _, j := range e.waiting {
		g, ok, err := j.pending.Poll()
		switch {
		case !ok:
			waiting = append(waiting, j)
		case err != nil:
			j.refused = true
		default:
			j.grant = g
			f.dispatch(j)
		}
	}
	e.waiting = waiting
}

func (f *fleet) dispatch(j *job) {
	plan, err := router.Pick(j.entry.tracker.Snapshot(), j.request(), f.now, f.rnd)
	if err != nil {
		j.refused = true
		j.release(admission.ResultFailed)
		return
	}
	j.ticket = j.entry.tracker.Begin(plan, j.request())
	if f.byName[plan.Engine].dead || (plan.Prefill != "" && f.byName[plan.Prefill].dead) {
		j.ticket.End(router.OutcomeNotSent)
		f.dispatch(j)
		return
	}
	j.engine = f.byName[plan.Engine]
	if plan.Prefill != "" {
		j.decode = j.engine
		j.engine = f.byName[plan.Prefill]
		j.prefillOnly = true
	}
	j.engine.waiting = append(j.engine.waiting, j)
	j.entry.running = append(j.entry.running, j)
}

// advance moves the clock by one tick.
func (f *fleet) advance() {
	f.now = f.now.Add(tick)
	for _, e := range f.engines {
		e.step(f.now)
	}
	second := f.now.Sub(f.now.Truncate(time.Second)) < tick
	for _, e := range f.entries {
		f.cancelLate(e)
		if f.now.Sub(f.now.Truncate(25*time.Millisecond)) < tick {
			e.admission.Sweep()
		}
		f.poll(e)
	}
	if second {
		f.reportAll()
	}
}

func (f *fleet) cancelLate(e *fakeEntry) {
	running := e.running[:0]
	for _, j := range e.running {
		if !j.ended && f.now.After(j.deadline) {
			j.engine.drop(j)
			j.end(router.OutcomeCancelled, admission.ResultCancelled)
		}
		if !j.ended {
			running = append(running, j)
		}
	}
	e.running = running
}

// reportAll makes the engines report, delivers the reports of lag ago to the
// trackers, and updates the controllers' capacity.
func (f *fleet) reportAll() {
	longest, sum := 0.0, 0.0
	for _, e := range f.engines {
		if e.dead {
			continue
		}
		e.report(f.now)
		at := sort.Search(len(e.reportsAt), func(i int) bool { return e.reportsAt[i].After(f.now.Add(-f.lag)) }) - 1
		if at >= 0 {
			r := e.reports[at]
			r.AgeMillis = f.now.Sub(e.reportsAt[at]).Milliseconds()
			for _, en := range f.entries {
				en.tracker.SetLoadReport(e.name, r, f.now)
			}
		}
		held := float64(len(e.running) + len(e.waiting))
		longest = max(longest, held)
		sum += held
	}
	f.imbalance += longest
	f.mean += sum / float64(len(f.engines))
	for _, en := range f.entries {
		l := en.tracker.PoolLoad("p", "m")
		en.admission.SetCapacity("p", "m", admission.Capacity{Engines: l.Engines, Entries: len(f.entries),
			PrefillPerSecond: l.PrefillPerSecond, DecodePerSecond: l.DecodePerSecond})
	}
}

// arrivalRates are the numbers of short and long requests a second.
type arrivalRates struct{ short, long float64 }

// run simulates arrivals for a time and then completes what is left. It returns the
// tally of the requests that arrived after the warm-up.
func (f *fleet) run(r arrivalRates, warmUp, length time.Duration) tally {
	start := f.now
	f.drive(r, length)
	f.drive(arrivalRates{}, 40*time.Second)
	return f.tallyOf(start.Add(warmUp), start.Add(length))
}

// drive generates arrivals at the given rates for a time.
func (f *fleet) drive(r arrivalRates, length time.Duration) {
	start := f.now
	next := [2]time.Duration{}
	rates := [2]float64{r.short, r.long}
	for f.now.Sub(start) < length {
		for i := range next {
			for rates[i] > 0 && next[i] <= f.now.Sub(start) {
				f.arriveOne(i)
				next[i] += time.Duration(f.rnd.ExpFloat64() / rates[i] * float64(time.Second))
			}
		}
		f.advance()
	}
}

// kill stops the first n engines and fails their requests; revive restarts all.
func (f *fleet) kill(n int) {
	for _, e := range f.engines[:n] {
		e.dead = true
		for _, j := range append(append([]*job(nil), e.waiting...), e.running...) {
			e.drop(j)
			j.end(router.OutcomeBroken, admission.ResultFailed)
		}
	}
}

func (f *fleet) revive() {
	for _, e := range f.engines {
		e.dead = false
		e.chunks = nil
	}
}

func (f *fleet) arriveOne(kind int) {
	if kind == 0 {
		f.arrive("short", 50+f.rnd.IntN(250), 10+f.rnd.IntN(60), 6*time.Second)
		return
	}
	f.arrive("long", 2000+f.rnd.IntN(4000), 10+f.rnd.IntN(60), 30*time.Second)
}

// tally counts the outcomes of requests.
type tally struct {
	offered, withinDeadline, refused, late int
	shortOffered, shortWithinDeadline      int
}

func (f *fleet) tallyOf(from, to time.Time) tally {
	var t tally
	for _, j := range f.jobs {
		if j.arrived.Before(from) || !j.arrived.Before(to) {
			continue
		}
		t.offered++
		if j.class == "short" {
			t.shortOffered++
		}
		switch {
		case j.refused:
			t.refused++
		case !j.withinDeadline:
			t.late++
		default:
			t.withinDeadline++
			if j.class == "short" {
				t.shortWithinDeadline++
			}
		}
	}
	return t
}
