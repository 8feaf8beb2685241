package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/enginemodel"
	"tamarackchute/upstream"
)

// replay simulates a load pattern in virtual time. Engines do one prefill after the other
// at their own speed and cache what they prefilled. One daemon places all requests.
type replay struct {
	clock   *clock
	tracker *Tracker
	members []Member
	engines map[string]*simulatedEngine
	events  eventQueue
	seq     int
	rand    *rand.Rand

	requests, onTime, late, refused int
	// prefilled is the number of tokens prefilled, recomputed the number of those that
	// another engine had cached.
	prefilled, recomputed int
}

// simulatedEngine is the actual state of an engine.
type simulatedEngine struct {
	idleAt time.Time
	cached map[uint64]bool
	// perToken is the prefill time per token.
	perToken time.Duration
}

// requestKind describes requests: the sizes of their shared and unshared parts, the output
// length, the number of different shared parts, and the objective.
type requestKind struct {
	name                           string
	shared, unshared, outputTokens int
	variants                       int
	objective                      time.Duration
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newReplay returns a replay with a pool of engines, a third of which only prefill. speed
// is in prompt tokens per millisecond.
func newReplay(engines int, speed float64, transfers bool) *replay {
	p := &replay{clock: &clock{time.Unix(1000, 0)}, engines: make(map[string]*simulatedEngine), rand: rand.New(rand.NewPCG(11, 12))}
	p.tracker = NewTracker(p.clock.now)
	p.tracker.AssumeNewEnginesEmpty()
	for i := range engines {
		m := Member{ID: fmt.Sprint("e", i), DataCentre: "d", Pool: "p", Role: upstream.RoleDecode, Slots: 64, KVTokens: int(10_000 * speed)}
		per := 2 * float64(time.Millisecond) / speed
		if i%3 == 0 {
			m.Role, per = upstream.RolePrefill, per/2
		}
		if transfers {
			m.TransferMillisPerToken = 0.1 / speed
		}
		p.members = append(p.members, m)
		p.engines[m.ID] = &simulatedEngine{cached: make(map[uint64]bool), perToken: time.Duration(per)}
	}
	p.tracker.Sync(p.members)
	return p
}

func (p *replay) at(t time.Time, do func()) {
	p.seq++
	heap.Push(&p.events, event{t, p.seq, do})
}

// run processes all events.
func (p *replay) run() {
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(event)
		p.clock.at = e.at
		e.do()
	}
}

// load adds requests of a kind at a rate per second for some time.
func (p *replay) load(k requestKind, from, length time.Duration, perSecond float64) {
	start := p.clock.at
	for t := from; t < from+length; {
		p.at(start.Add(t), func() { p.request(k) })
		t += time.Duration(p.rand.ExpFloat64() / perSecond * float64(time.Second))
	}
}

func (p *replay) request(k requestKind) {
	p.requests++
	subject := uint64(len(k.name)*1000 + p.rand.IntN(k.variants))
	r := Request{
		Parts:        []Part{{ID: subject, Tokens: k.shared}, {ID: 1<<40 + uint64(p.requests), Tokens: k.unshared}},
		PromptTokens: k.shared + k.unshared, OutputTokens: k.outputTokens, DataCentre: "d",
		Objective: k.objective, GapObjective: 150 * time.Millisecond, FirstTokenLimit: k.objective * 85 / 100,
	}
	r.RecomputeLimit = r.FirstTokenLimit
	plan, ok := p.tracker.Pick("p", r)
	if !ok || float64(plan.FirstToken) > 0.85*float64(k.objective) {
		// It will miss its objective, but a late response is worth more than none.
		r.Late, r.FirstTokenLimit, r.RecomputeLimit = true, 0, 0
		if plan, ok = p.tracker.Pick("p", r); !ok {
			p.refused++
			return
		}
	}
	p.send(k, r, plan)
}

// send runs the prefill on the engine that the plan names.
func (p *replay) send(k requestKind, r Request, plan Plan) {
	began := p.clock.at
	work := Work{Prefill: plan.PrefillWork(r), TransferredTokens: plan.Transferred, Parts: r.Parts, ReservedKVTokens: r.PromptTokens, OutputTokens: k.outputTokens, Late: r.Late}
	at := prefillEngine(plan)
	ticket := p.tracker.Begin(at, work)
	e := p.engines[at]
	tokens := k.unshared
	if !e.cached[r.Parts[0].ID] && plan.Source == "" {
		tokens += k.shared
		p.countRecomputed(r.Parts[0])
	}
	p.prefilled += tokens
	start := e.idleAt
	if start.Before(began) {
		start = began
	}
	e.idleAt = start.Add(time.Duration(tokens) * e.perToken)
	p.at(e.idleAt.Add(10*time.Millisecond), func() {
		ticket.PrefillDone()
		e.cached[r.Parts[0].ID] = true
		if p.clock.at.Sub(began) <= k.objective {
			p.onTime++
		} else {
			p.late++
		}
		p.at(p.clock.at.Add(time.Duration(k.outputTokens)*4*time.Millisecond), func() { ticket.End(Done) })
	})
}

// countRecomputed counts a shared part that is prefilled although another engine has it
// cached.
func (p *replay) countRecomputed(part Part) {
	for _, e := range p.engines {
		if e.cached[part.ID] {
			p.recomputed += part.Tokens
			return
		}
	}
}

func (p *replay) onTimeShare() float64 { return float64(p.onTime) / float64(max(1, p.requests)) }

func (p *replay) String() string {
	return fmt.Sprintf("%d requests: %d on time, %d late, %d refused; %d tokens prefilled, %d of them cached elsewhere", p.requests, p.onTime, p.late, p.refused, p.prefilled, p.recomputed)
}

// kinds returns the kinds of requests for engines of the given speed in tokens per
// millisecond. Their prefill takes the same share of the objective at any speed.
func kinds(speed float64) (long, short requestKind) {
	scale := func(tokens float64) int { return int(tokens * speed / 60) }
	long = requestKind{"long one", scale(13_000), scale(3_700), 120, 100, 500 * time.Millisecond}
	short = requestKind{"short", scale(350), scale(1_100), 170, 200, 300 * time.Millisecond}
	return long, short
}

// Bursts of long and of short prompts alternate every three seconds, at a load that the
// engines can handle if shared parts are reused where they are cached. It must work alike
// for engines from a tenth to ten times the usual speed.
func TestAlternatingMix(t *testing.T) {
	for _, speed := range []float64{6, 60, 600} {
		p := newReplay(12, speed, true)
		long, short := kinds(speed)
		for at := time.Duration(0); at < 24*time.Second; at += 6 * time.Second {
			p.load(long, at, 3*time.Second, 40)
			p.load(short, at, 3*time.Second, 20)
			p.load(long, at+3*time.Second, 3*time.Second, 12)
			p.load(short, at+3*time.Second, 3*time.Second, 90)
		}
		p.run()
		t.Logf("speed %v: %v", speed, p)
		require.Greater(t, p.onTimeShare(), 0.8, "speed %v: %v", speed, p)
		require.Less(t, p.recomputed, p.prefilled/10, "speed %v: %v", speed, p)
	}
}

// In a long burst with large shared parts, engines that can't transfer KV caches prefill
// again what others have cached, and most requests are refused.
func TestKVTransfersInBurst(t *testing.T) {
	play := func(transfers bool) *replay {
		p := newReplay(12, 60, transfers)
		long, _ := kinds(60)
		p.load(long, 0, 12*time.Second, 50)
		p.run()
		return p
	}
	with, without := play(true), play(false)
	t.Logf("with KV transfers %v; without %v", with, without)
	require.Greater(t, with.onTimeShare(), without.onTimeShare()+0.05)
	require.Less(t, with.recomputed, without.recomputed/2)
}

// Under overload the admitted requests must still meet their objective: if the queue may
// grow, all of them are late.
func TestOverloadRefusesRatherThanQueues(t *testing.T) {
	p := newReplay(12, 60, true)
	long, short := kinds(60)
	p.load(long, 0, 10*time.Second, 150)
	p.load(short, 0, 10*time.Second, 100)
	p.run()
	t.Log(p)
	require.Greater(t, p.refused, p.requests/10, "not an overload")
	require.Less(t, p.late, (p.onTime+p.late)/8, "%v", p)
}

// A third of the engines is lost during a burst. What is known of the others must stay
// valid.
func TestLossOfThirdOfEngines(t *testing.T) {
	p := newReplay(12, 60, true)
	long, short := kinds(60)
	p.load(long, 0, 12*time.Second, 20)
	p.load(short, 0, 12*time.Second, 30)
	p.at(p.clock.at.Add(6*time.Second), func() {
		p.members = p.members[:8]
		p.tracker.Sync(p.members)
	})
	p.run()
	t.Log(p)
	require.Greater(t, p.onTimeShare(), 0.75, "%v", p)
}

// Late requests occupy an engine for long. However many there are, most engines must stay
// available to requests that can meet their objective.
func TestLateRequestsTakeFewEngines(t *testing.T) {
	p := newReplay(12, 60, true)
	large := Request{Parts: []Part{{ID: 7, Tokens: 40_000}}, PromptTokens: 40_000, DataCentre: "d", Objective: 500 * time.Millisecond, Late: true}
	taken := map[string]bool{}
	for range 50 {
		plan, ok := Pick(p.tracker.Engines(ids(p.members)), large)
		if !ok {
			break
		}
		p.tracker.Begin(prefillEngine(plan), Work{Prefill: enginemodel.Prompt{Tokens: 40_000}, Late: true})
		taken[prefillEngine(plan)] = true
	}
	require.NotEmpty(t, taken)
	require.LessOrEqual(t, float64(len(taken)), 1+lateEngineShare*12)
}

// A part shared by most prompts of a burst is cached on engines of two data centres. If the
// first engine of the list were always the source, all transfers would use one link, half
// of them between data centres.
func TestTransferSources(t *testing.T) {
	tracker := NewTracker((&clock{time.Unix(1000, 0)}).now)
	tracker.AssumeNewEnginesEmpty()
	var members []Member
	for i := range 12 {
		members = append(members, Member{
			ID: fmt.Sprintf("e%02d", i), DataCentre: centres[i%2], Pool: "p", Role: upstream.RoleDecode,
			Slots: 8, KVTokens: 100_000, TransferMillisPerToken: 0.0001,
		})
	}
	tracker.Sync(members)
	r := prompt(2)
	for _, m := range members[:6] {
		t := tracker.Begin(m.ID, Work{Parts: r.Parts, Prefill: tokens(100)})
		t.PrefillDone()
		t.End(Done)
		tracker.SetCachedParts(m.ID, sharedParts(r.Parts))
	}
	for _, m := range members[:6] {
		r.Exclude = append(r.Exclude, m.ID) // these engines have failed the request
	}
	sources := make(map[string]int)
	for i := range 24 {
		r.Parts[2].ID = uint64(1000 + i)
		plan, ok := tracker.Pick("p", r)
		require.True(t, ok)
		require.NotEmpty(t, plan.Source)
		require.Equal(t, plan.Engine[2]%2, plan.Source[2]%2, "the source must be in the same data centre")
		sources[plan.Source]++
	}
	require.Greater(t, len(sources), 2, "%v", sources)
}
