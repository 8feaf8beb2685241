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
type poolAverages struct {
	requests, prompt, kv atomicFloat
	// answer is the mean time in seconds from an attempt's begin to its end.
	responseTime atomicFloat
	// output is the mean length of answers as a share of what was asked for.
	outputFraction atomicFloat
}

// peersKey names engines that are alike.
type averagesKey struct {
	pool string
	role upstream.Role
}

// observe takes one engine's report into the average of n engines, over about
// two reports of each; an old report counts for less.
func (p *poolAverages) observe(w remoteWork, n int, trust float64) {
	step := trust / float64(2*max(1, n))
	updateEWMA(&p.requests, w.requests, step)
	updateEWMA(&p.prompt, w.prompt, step)
	updateEWMA(&p.kv, w.kv, step)
}

// met takes the prompts of others that one of our own requests found ahead of
// it. That is as fresh as a first token, where a report may be seconds old:
// processes that steer by late reports alone all hold back at once, and then
// all come at once.
func (p *poolAverages) observeQueueAhead(prompt float64) {
	updateEWMA(&p.prompt, prompt, observationWeight)
}

// ended takes the time of a whole answer.
func (p *poolAverages) observeCompletion(took, output float64) {
	if p.responseTime.load() == 0 {
		p.responseTime.store(took)
		p.outputFraction.store(1)
	}
	updateEWMA(&p.outputFraction, min(1, output), outputWeight)
	updateEWMA(&p.responseTime, took, observationWeight)
}

// outputOf is the expected length of an answer. What is asked for is a bound,
// and taken as the length it would have requests refused that end in time.
func (n *node) expectedOutput(r *Request) float64 {
	asked := float64(max(0, r.OutputTokens-1))
	p := n.averages.Load()
	if p == nil || p.outputFraction.load() == 0 {
		return asked
	}
	return asked * p.outputFraction.load()
}

// lengthStep is the weight of one answer's length.
const outputWeight = 0.02

// metStep is the weight of one such request.
const observationWeight = 0.1

func updateEWMA(f *atomicFloat, v, step float64) { f.store(f.load() + step*(v-f.load())) }

// others is work of other processes at an engine.
type remoteWork struct{ requests, prompt, kv float64 }

// staleAfter is the age at which a report counts for a quarter: a share of the
// time of an answer, in which the prompts that it saw have been worked through.
func (p *poolAverages) staleAfter(cfg *Config) time.Duration {
	share := seconds(cfg.StaleFraction * p.responseTime.load())
	if share <= 0 {
		return cfg.StaleAfter
	}
	return min(share, cfg.StaleAfter)
}

// othersAt is what the report says of other processes: all less the own work
// that was there at its time.
func remoteWorkAt(u *Upstream, l *liveState) remoteWork {
	then := func(reported int, own, since int64) float64 {
		return max(0, float64(int64(reported)-(own-since)))
	}
	return remoteWork{
		then(u.Report.Running+u.Report.Waiting, l.inFlight.Load(), l.deltaRequests.Load()),
		then(u.Report.QueuedPrompt, l.localPrompt.Load(), l.deltaPrompt.Load()),
		then(u.Report.KVUsedTokens, l.localKV.Load(), l.deltaKV.Load()),
	}
}

// workNow is the best guess at what is in flight at an engine: the own work,
// which is known, and the others' by report and average.
func (n *node) currentWork(cfg *Config, u *Upstream, age time.Duration) Work {
	l := &n.live
	own := Work{
		Requests:     int(l.inFlight.Load()),
		PromptTokens: int(l.localPrompt.Load()),
		KVTokens:     int(l.localKV.Load()),
		OutputTokens: int(l.localOutput.Load()),
	}
	if u.ReportAt.IsZero() {
		return own
	}
	o := remoteWorkAt(u, l)
	if p := n.averages.Load(); p != nil {
		trust := reportWeight(age, p.staleAfter(cfg))
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
func reportWeight(age, staleAfter time.Duration) float64 {
	t := float64(staleAfter) / float64(staleAfter+age)
	return t * t
}

func blend(seen, average, trust float64) float64 { return trust*seen + (1-trust)*average }
