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

// A batchReplay plays streams and prompts against engines that generate for all their
// streams in turn: each event takes longer the more streams there are, and none comes while
// the engine reads. One daemon decides for all requests.
type batchReplay struct {
	clock   *clock
	books   *Tracker
	engines []*batchEngine
	rand    *rand.Rand
	// slow is how many times as long as the first engines' all times are.
	slow float64

	streams []*playedStream
	prompts struct{ asked, inTime int }
}

// The figures of the engines, in milliseconds unless said otherwise.
const (
	eventTokens   = 70
	eventAlone    = 42.0
	eventBeside   = 1.6
	tokensPerMs   = 490.0
	longestEvents = 170
	shortEvents   = 2
	// patience is the longest that callers wait, leastPatience the share of it that the
	// least patient do.
	patience      = 15 * time.Second
	leastPatience = 0.87
	tick          = 5 * time.Millisecond
	// mostRead is the share of its time that an engine with streams reads at most.
	mostRead = 0.7
)

type batchEngine struct {
	Member
	// slower is how many times as long as at the first ones all takes there.
	slower  float64
	streams []*playedStream
	reads   []*playedRead
}

type playedStream struct {
	events, done float64
	deadline     time.Time
	ticket       *Ticket
	whole        bool
}

// playedRead is a prompt that an engine reads, and the short answer to it that follows at
// the engine that generates.
type playedRead struct {
	left     float64
	deadline time.Time
	reader   *Ticket
	answer   *playedStream
	at       *batchEngine
}

func newBatchReplay(engines int, slow float64, seed uint64) *batchReplay {
	p := &batchReplay{clock: &clock{time.Unix(1000, 0)}, rand: rand.New(rand.NewPCG(seed, 27)), slow: slow}
	p.books = NewTracker(p.clock.now)
	p.books.AssumeNewEnginesEmpty()
	var members []Member
	for i := range engines {
		m := Member{ID: fmt.Sprint("e", i), DataCentre: "d", Pool: "p", Role: upstream.RoleDecode, Slots: 32, KVTokens: 1_250_000, TransferMillisPerToken: 0.0001}
		if i%3 == 0 {
			m.Role = upstream.RolePrefill
		}
		members = append(members, m)
		p.engines = append(p.engines, &batchEngine{Member: m, slower: 1})
	}
	p.books.Sync(members)
	p.learn()
	return p
}

// learn has the daemon know the engines from the start.
func (p *batchReplay) learn() {
	m := p.books.model("p")
	for i := range 200 {
		n := i % 24
		m.LearnInterval(n, millis(p.interval(n)))
		m.LearnStream(eventTokens*50, 50, millis(50*p.interval(12)))
		tokens := 1000 + 100*(i%50)
		for _, role := range []upstream.Role{upstream.RolePrefill, upstream.RoleDecode} {
			m.LearnPrefill(enginemodel.PrefillSample{Role: role, Prompt: enginemodel.Prompt{Tokens: tokens}, Took: millis(10*p.slow + p.reading(role, tokens)), QueueEmpty: true})
		}
		m.LearnHandoff(3000, 0, millis(5*p.slow))
	}
}

func (p *batchReplay) interval(others int) float64 {
	return p.slow * (eventAlone + eventBeside*float64(others))
}

func (p *batchReplay) reading(role upstream.Role, tokens int) float64 {
	took := p.slow * float64(tokens) / tokensPerMs
	if role == upstream.RoleDecode {
		took *= 2
	}
	return took
}

func (p *batchReplay) scaled(d time.Duration) time.Duration {
	return time.Duration(p.slow * float64(d))
}

// play has callers ask for a while; the rates are of streams and prompts a second on the
// first engines. All streams are then played to their ends.
func (p *batchReplay) play(length time.Duration, rates func(at time.Duration) (streams, prompts float64)) {
	for at := time.Duration(0); at < length+patience+time.Second; at += tick {
		if at < length {
			streams, prompts := rates(at)
			p.times(streams, p.askStream)
			p.times(prompts, p.askPrompt)
		}
		for _, e := range p.engines {
			p.work(e)
		}
		p.clock.pass(p.scaled(tick))
	}
}

// times calls f for those that come at a rate within one tick.
func (p *batchReplay) times(perSecond float64, f func()) {
	for gap := p.rand.ExpFloat64(); gap < perSecond*tick.Seconds(); gap += p.rand.ExpFloat64() {
		f()
	}
}

// askStream asks for an answer of a length that callers guess within a factor of two, of
// which they name only the bound.
func (p *batchReplay) askStream() {
	events := min(longestEvents, 51*math.Exp(0.84*p.rand.NormFloat64()))
	guess := events * math.Exp(0.5*p.rand.NormFloat64())
	r := Request{
		PromptTokens: 141, OutputTokens: eventTokens * int(min(longestEvents, guess)), MaxOutputTokens: eventTokens * longestEvents,
		DataCentre: "d", Objective: p.scaled(150 * time.Millisecond), GapObjective: p.scaled(250 * time.Millisecond),
		TimeLeft: time.Duration((leastPatience + (1-leastPatience)*p.rand.Float64()) * float64(p.scaled(patience))),
	}
	r.Parts = []Part{{ID: p.rand.Uint64(), Tokens: r.PromptTokens}}
	r.FirstTokenLimit = r.Objective * 85 / 100
	r.RecomputeLimit = r.FirstTokenLimit
	s := &playedStream{events: math.Ceil(events), deadline: p.clock.at.Add(r.TimeLeft)}
	p.streams = append(p.streams, s)
	plan, ok := p.books.Pick("p", r)
	if !ok || !plan.MeetsLimit(r) {
		return // refused
	}
	s.ticket = p.books.Begin(plan.Engine, Work{
		Prefill: plan.PrefillWork(r), Parts: r.Parts, ReservedKVTokens: r.PromptTokens + r.OutputTokens, OutputTokens: r.OutputTokens, LongStream: plan.LongStream, TimeLeft: r.TimeLeft,
	})
	s.ticket.PrefillDone()
	e := p.engine(plan.Engine)
	e.streams = append(e.streams, s)
}

func (p *batchReplay) engine(id string) *batchEngine {
	return p.engines[slices.IndexFunc(p.engines, func(e *batchEngine) bool { return e.ID == id })]
}

// askPrompt asks for a short answer to a long prompt.
func (p *batchReplay) askPrompt() {
	p.prompts.asked++
	r := Request{
		PromptTokens: 2890, OutputTokens: 2, DataCentre: "d",
		Objective: p.scaled(250 * time.Millisecond), GapObjective: p.scaled(250 * time.Millisecond), TimeLeft: p.scaled(2 * time.Second),
	}
	r.Parts = []Part{{ID: p.rand.Uint64(), Tokens: r.PromptTokens}}
	r.FirstTokenLimit = r.Objective * 85 / 100
	r.RecomputeLimit = r.FirstTokenLimit
	plan, ok := p.books.Pick("p", r)
	if !ok || !plan.MeetsLimit(r) {
		return
	}
	e := p.engine(reader(plan))
	read := &playedRead{left: e.slower * p.reading(e.Role, r.PromptTokens), deadline: p.clock.at.Add(r.Objective), at: p.engine(plan.Engine)}
	read.reader = p.books.Begin(e.ID, Work{Prefill: plan.PrefillWork(r), Parts: r.Parts, ReservedKVTokens: r.PromptTokens})
	read.answer = &playedStream{events: shortEvents, deadline: p.clock.at.Add(r.TimeLeft), ticket: read.reader}
	if plan.Prefill != "" {
		read.answer.ticket = p.books.Begin(plan.Engine, Work{Parts: r.Parts, ReservedKVTokens: r.PromptTokens, TransferredTokens: r.PromptTokens})
	}
	e.reads = append(e.reads, read)
}

// work has an engine work for one tick.
func (p *batchReplay) work(e *batchEngine) {
	left := p.slow * enginemodel.Millis(tick)
	share := 1.0
	if len(e.streams) > 0 {
		share = mostRead
	}
	for budget := share * left; len(e.reads) > 0 && budget > 0; {
		took := min(budget, e.reads[0].left)
		e.reads[0].left -= took
		budget -= took
		left -= took
		if e.reads[0].left <= 0 {
			p.endRead(e.reads[0])
			e.reads = e.reads[1:]
		}
	}
	interval := e.slower * p.interval(len(e.streams)-1)
	each := left / interval
	e.streams = slices.DeleteFunc(e.streams, func(s *playedStream) bool {
		s.done += each
		if int(s.done) > int(s.done-each) && len(e.reads) == 0 {
			s.ticket.RecordGap(millis(interval))
		}
		s.whole = s.done >= s.events
		over := s.whole || p.clock.at.After(s.deadline)
		if over {
			s.ticket.End(Done)
		}
		return over
	})
}

func (p *batchReplay) endRead(read *playedRead) {
	read.reader.PrefillDone()
	if read.answer.ticket != read.reader {
		read.reader.End(Done)
	}
	read.at.streams = append(read.at.streams, read.answer)
	if !p.clock.at.After(read.deadline) {
		p.prompts.inTime++
	}
}

// wholeByLength returns the shares of the longest tenth and of all other streams that were
// whole, and of the prompts that were answered in time.
func (p *batchReplay) wholeByLength() (longest, others, prompts float64) {
	slices.SortStableFunc(p.streams, func(a, b *playedStream) int { return int(a.events) - int(b.events) })
	tenth := len(p.streams) - len(p.streams)/10
	return shareWhole(p.streams[tenth:]), shareWhole(p.streams[:tenth]), float64(p.prompts.inTime) / float64(max(1, p.prompts.asked))
}

func shareWhole(streams []*playedStream) float64 {
	whole := 0
	for _, s := range streams {
		if s.whole {
			whole++
		}
	}
	return float64(whole) / float64(max(1, len(streams)))
}
