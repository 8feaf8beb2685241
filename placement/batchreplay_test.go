package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// batchReplay simulates streams and prompts on engines that decode all their streams in a
// batch: events take longer with more streams, and none is produced during a prefill. One
// daemon places all requests.
type batchReplay struct {
	clock   *clock
	tracker *Tracker
	engines []*batchEngine
	rand    *rand.Rand
	// timeScale scales all times of the engines and callers.
	timeScale float64

	streams []*batchStream
	prompts struct{ asked, onTime int }
}

// The parameters of the engines and requests, in milliseconds unless noted otherwise.
const (
	eventTokens          = 70
	baseEventMillis      = 42.0
	eventMillisPerStream = 1.6
	tokensPerMs          = 490.0
	maxEvents            = 170
	shortEvents          = 2
	// maxTimeout is the longest caller timeout, minTimeoutShare the shortest one's share of
	// it.
	maxTimeout      = 15 * time.Second
	minTimeoutShare = 0.87
	tick            = 5 * time.Millisecond
	// maxPrefillTimeShare is the largest share of its time that an engine with streams
	// spends on prefill.
	maxPrefillTimeShare = 0.7
)

type batchEngine struct {
	Member
	// slowdown scales the times of this engine.
	slowdown float64
	streams  []*batchStream
	prefills []*batchPrefill
}

type batchStream struct {
	events, done float64
	deadline     time.Time
	ticket       *Ticket
	complete     bool
}

// batchPrefill is a prefill with the short response that follows on the decode engine.
type batchPrefill struct {
	remaining float64
	deadline  time.Time
	ticket    *Ticket
	response  *batchStream
	decode    *batchEngine
}

func newBatchReplay(engines int, timeScale float64, seed uint64) *batchReplay {
	p := &batchReplay{clock: &clock{time.Unix(1000, 0)}, rand: rand.New(rand.NewPCG(seed, 27)), timeScale: timeScale}
	p.tracker = NewTracker(p.clock.now)
	p.tracker.AssumeNewEnginesEmpty()
	var members []Member
	for i := range engines {
		m := Member{ID: fmt.Sprint("e", i), DataCentre: "d", Pool: "p", Role: upstream.RoleDecode, Slots: 32, KVTokens: 1_250_000, TransferMillisPerToken: 0.0001}
		if i%3 == 0 {
			m.Role = upstream.RolePrefill
		}
		members = append(members, m)
		p.engines = append(p.engines, &batchEngine{Member: m, slowdown: 1})
	}
	p.tracker.Sync(members)
	p.train()
	return p
}

// train lets the daemon learn the parameters of the engines before the replay.
func (p *batchReplay) train() {
	m := p.tracker.model("p")
	for i := range 200 {
		n := i % 24
		m.LearnInterval(n, fromMillis(p.interval(n)))
		m.LearnStream(eventTokens*50, 50, fromMillis(50*p.interval(12)))
		tokens := 1000 + 100*(i%50)
		for _, role := range []upstream.Role{upstream.RolePrefill, upstream.RoleDecode} {
			m.LearnPrefill(enginemodel.PrefillSample{Role: role, Prompt: enginemodel.Prompt{Tokens: tokens}, Took: fromMillis(10*p.timeScale + p.prefillMillis(role, tokens)), QueueEmpty: true})
		}
		m.LearnHandoff(3000, 0, fromMillis(5*p.timeScale))
	}
}

func (p *batchReplay) interval(others int) float64 {
	return p.timeScale * (baseEventMillis + eventMillisPerStream*float64(others))
}

func (p *batchReplay) prefillMillis(role upstream.Role, tokens int) float64 {
	took := p.timeScale * float64(tokens) / tokensPerMs
	if role == upstream.RoleDecode {
		took *= 2
	}
	return took
}

func (p *batchReplay) scaled(d time.Duration) time.Duration {
	return time.Duration(p.timeScale * float64(d))
}

// play sends requests for the given time, at rates of streams and prompts per second for a
// timeScale of 1, and runs all streams to their ends.
func (p *batchReplay) play(length time.Duration, rates func(at time.Duration) (streams, prompts float64)) {
	for at := time.Duration(0); at < length+maxTimeout+time.Second; at += tick {
		if at < length {
			streams, prompts := rates(at)
			p.times(streams, p.requestStream)
			p.times(prompts, p.requestPrompt)
		}
		for _, e := range p.engines {
			p.work(e)
		}
		p.clock.pass(p.scaled(tick))
	}
}

// times calls f for each request that arrives within one tick at the given rate.
func (p *batchReplay) times(perSecond float64, f func()) {
	for gap := p.rand.ExpFloat64(); gap < perSecond*tick.Seconds(); gap += p.rand.ExpFloat64() {
		f()
	}
}

// requestStream requests a long response. The caller's estimate of its length is off by
// about a factor of two; only the bound is exact.
func (p *batchReplay) requestStream() {
	events := min(maxEvents, 51*math.Exp(0.84*p.rand.NormFloat64()))
	guess := events * math.Exp(0.5*p.rand.NormFloat64())
	r := Request{
		PromptTokens: 141, OutputTokens: eventTokens * int(min(maxEvents, guess)), MaxOutputTokens: eventTokens * maxEvents,
		DataCentre: "d", Objective: p.scaled(150 * time.Millisecond), GapObjective: p.scaled(250 * time.Millisecond),
		TimeLeft: time.Duration((minTimeoutShare + (1-minTimeoutShare)*p.rand.Float64()) * float64(p.scaled(maxTimeout))),
	}
	r.Parts = []Part{{ID: p.rand.Uint64(), Tokens: r.PromptTokens}}
	r.FirstTokenLimit = r.Objective * 85 / 100
	r.RecomputeLimit = r.FirstTokenLimit
	s := &batchStream{events: math.Ceil(events), deadline: p.clock.at.Add(r.TimeLeft)}
	p.streams = append(p.streams, s)
	plan, ok := p.tracker.Pick("p", r)
	if !ok || !plan.MeetsLimit(r) {
		return // refused
	}
	s.ticket = p.tracker.Begin(plan.Engine, Work{
		Prefill: plan.PrefillWork(r), Parts: r.Parts, ReservedKVTokens: r.PromptTokens + r.OutputTokens, OutputTokens: r.OutputTokens, LongStream: plan.LongStream, TimeLeft: r.TimeLeft,
	})
	s.ticket.PrefillDone()
	e := p.engine(plan.Engine)
	e.streams = append(e.streams, s)
}

func (p *batchReplay) engine(id string) *batchEngine {
	return p.engines[slices.IndexFunc(p.engines, func(e *batchEngine) bool { return e.ID == id })]
}

// requestPrompt requests a short response to a long prompt.
func (p *batchReplay) requestPrompt() {
	p.prompts.asked++
	r := Request{
		PromptTokens: 2890, OutputTokens: 2, DataCentre: "d",
		Objective: p.scaled(250 * time.Millisecond), GapObjective: p.scaled(250 * time.Millisecond), TimeLeft: p.scaled(2 * time.Second),
	}
	r.Parts = []Part{{ID: p.rand.Uint64(), Tokens: r.PromptTokens}}
	r.FirstTokenLimit = r.Objective * 85 / 100
	r.RecomputeLimit = r.FirstTokenLimit
	plan, ok := p.tracker.Pick("p", r)
	if !ok || !plan.MeetsLimit(r) {
		return
	}
	e := p.engine(prefillEngine(plan))
	prefill := &batchPrefill{remaining: e.slowdown * p.prefillMillis(e.Role, r.PromptTokens), deadline: p.clock.at.Add(r.Objective), decode: p.engine(plan.Engine)}
	prefill.ticket = p.tracker.Begin(e.ID, Work{Prefill: plan.PrefillWork(r), Parts: r.Parts, ReservedKVTokens: r.PromptTokens})
	prefill.response = &batchStream{events: shortEvents, deadline: p.clock.at.Add(r.TimeLeft), ticket: prefill.ticket}
	if plan.Prefill != "" {
		prefill.response.ticket = p.tracker.Begin(plan.Engine, Work{Parts: r.Parts, ReservedKVTokens: r.PromptTokens, TransferredTokens: r.PromptTokens})
	}
	e.prefills = append(e.prefills, prefill)
}

// work advances an engine by one tick.
func (p *batchReplay) work(e *batchEngine) {
	left := p.timeScale * enginemodel.Millis(tick)
	share := 1.0
	if len(e.streams) > 0 {
		share = maxPrefillTimeShare
	}
	for budget := share * left; len(e.prefills) > 0 && budget > 0; {
		took := min(budget, e.prefills[0].remaining)
		e.prefills[0].remaining -= took
		budget -= took
		left -= took
		if e.prefills[0].remaining <= 0 {
			p.endPrefill(e.prefills[0])
			e.prefills = e.prefills[1:]
		}
	}
	interval := e.slowdown * p.interval(len(e.streams)-1)
	each := left / interval
	e.streams = slices.DeleteFunc(e.streams, func(s *batchStream) bool {
		s.done += each
		if int(s.done) > int(s.done-each) && len(e.prefills) == 0 {
			s.ticket.RecordGap(fromMillis(interval))
		}
		s.complete = s.done >= s.events
		over := s.complete || p.clock.at.After(s.deadline)
		if over {
			s.ticket.End(Done)
		}
		return over
	})
}

func (p *batchReplay) endPrefill(prefill *batchPrefill) {
	prefill.ticket.PrefillDone()
	if prefill.response.ticket != prefill.ticket {
		prefill.ticket.End(Done)
	}
	prefill.decode.streams = append(prefill.decode.streams, prefill.response)
	if !p.clock.at.After(prefill.deadline) {
		p.prompts.onTime++
	}
}

// completeByLength returns the shares of the longest tenth and of all other streams that
// were completed, and of the prompts that met their objective.
func (p *batchReplay) completeByLength() (longest, others, prompts float64) {
	slices.SortStableFunc(p.streams, func(a, b *batchStream) int { return int(a.events) - int(b.events) })
	tenth := len(p.streams) - len(p.streams)/10
	return completeShare(p.streams[tenth:]), completeShare(p.streams[:tenth]), float64(p.prompts.onTime) / float64(max(1, p.prompts.asked))
}

func completeShare(streams []*batchStream) float64 {
	complete := 0
	for _, s := range streams {
		if s.complete {
			complete++
		}
	}
	return float64(complete) / float64(max(1, len(streams)))
}
