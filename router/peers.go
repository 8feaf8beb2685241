package router

import (
	"time"

	"tamarackchute/upstream"
)

// peers is what other processes have in flight on average at the engines of
// one pool and role.
//
// A report tells what an engine had in hand seconds ago. This process's own
// part of that is known better; the others' part has moved on, and the older it
// is, the less it says about that engine and the more about its kind: a queue
// that was long is shorter by now, one that was empty has been found by others.
// So others' work is taken for a mean of the report and of the peers' average.
// Without that, engines with a lucky report draw everybody.
type peers struct {
	requests, prompt, kv atomicFloat
	// answer is the mean time in seconds from an attempt's begin to its end.
	answer atomicFloat
	// output is the mean length of answers as a share of what was asked for.
	output atomicFloat
}

// peersKey names engines that are alike.
type peersKey struct {
	pool string
	role upstream.Role
}

// observe takes one engine's report into the average of n engines, over about
// two reports of each; an old report counts for less.
func (p *peers) observe(w others, n int, trust float64) {
	step := trust / float64(2*max(1, n))
	mix(&p.requests, w.requests, step)
	mix(&p.prompt, w.prompt, step)
	mix(&p.kv, w.kv, step)
}

// met takes the prompts of others that one of our own requests found ahead of
// it. That is as fresh as a first token, where a report may be seconds old:
// processes that steer by late reports alone all hold back at once, and then
// all come at once.
func (p *peers) met(prompt float64) { mix(&p.prompt, prompt, metStep) }

// ended takes the time of a whole answer.
func (p *peers) ended(took, output float64) {
	if p.answer.load() == 0 {
		p.answer.store(took)
		p.output.store(1)
	}
	mix(&p.output, min(1, output), lengthStep)
	mix(&p.answer, took, metStep)
}

// outputOf is the expected length of an answer. What is asked for is a bound,
// and taken as the length it would have requests refused that end in time.
func (n *node) outputOf(r *Request) float64 {
	asked := float64(max(0, r.OutputTokens-1))
	p := n.peers.Load()
	if p == nil || p.output.load() == 0 {
		return asked
	}
	return asked * p.output.load()
}

// lengthStep is the weight of one answer's length.
const lengthStep = 0.02

// metStep is the weight of one such request.
const metStep = 0.1

func mix(f *atomicFloat, v, step float64) { f.store(f.load() + step*(v-f.load())) }

// others is work of other processes at an engine.
type others struct{ requests, prompt, kv float64 }

// staleAfter is the age at which a report counts for a quarter: a share of the
// time of an answer, in which the prompts that it saw have been worked through.
func (p *peers) staleAfter(cfg *Config) time.Duration {
	share := seconds(cfg.StaleFraction * p.answer.load())
	if share <= 0 {
		return cfg.StaleAfter
	}
	return min(share, cfg.StaleAfter)
}

// othersAt is what the report says of other processes: all less the own work
// that was there at its time.
func othersAt(u *Upstream, l *live) others {
	then := func(reported int, own, since int64) float64 {
		return max(0, float64(int64(reported)-(own-since)))
	}
	return others{
		then(u.Report.Running+u.Report.Waiting, l.inFlight.Load(), l.requests.Load()),
		then(u.Report.QueuedPrompt, l.ownPrompt.Load(), l.prompt.Load()),
		then(u.Report.KVUsedTokens, l.ownKV.Load(), l.kv.Load()),
	}
}

// workNow is the best guess at what is in flight at an engine: the own work,
// which is known, and the others' by report and average.
func (n *node) workNow(cfg *Config, u *Upstream, age time.Duration) Work {
	l := &n.live
	own := Work{
		Requests:     int(l.inFlight.Load()),
		PromptTokens: int(l.ownPrompt.Load()),
		KVTokens:     int(l.ownKV.Load()),
		OutputTokens: int(l.output.Load()),
	}
	if u.ReportAt.IsZero() {
		return own
	}
	o := othersAt(u, l)
	if p := n.peers.Load(); p != nil {
		trust := trustIn(age, p.staleAfter(cfg))
		o.requests = blend(o.requests, p.requests.load(), trust)
		o.prompt = blend(o.prompt, p.prompt.load(), trust)
		o.kv = blend(o.kv, p.kv.load(), trust)
	}
	own.Requests += int(o.requests + 0.5)
	own.PromptTokens += int(o.prompt)
	own.KVTokens += int(o.kv)
	return own
}

// trustIn falls from 1 at age 0 to a quarter at staleAfter.
func trustIn(age, staleAfter time.Duration) float64 {
	t := float64(staleAfter) / float64(staleAfter+age)
	return t * t
}

func blend(seen, average, trust float64) float64 { return trust*seen + (1-trust)*average }
