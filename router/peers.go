package router

import (
	"math"
	"time"

	"tamarackchute/upstream"
)

// staleAfter is the age at which a report's word on other processes' work
// counts for 1/e of what it says.
const staleAfter = 1500 * time.Millisecond

// peers is what other processes have in flight on average at the engines of
// one pool and role.
//
// A report tells what an engine had in hand seconds ago. This process's own
// part of that is known better; the others' part has moved on, and the older it
// is, the less it says about that engine and the more about its kind: a queue
// that was long is shorter by now, one that was empty has been found by others.
// So others' work is taken for a mean of the report and of the peers' average.
// Without that, engines with a lucky report draw everybody.
type peers struct{ requests, prompt, kv atomicFloat }

// peersKey names engines that are alike.
type peersKey struct {
	pool string
	role upstream.Role
}

// observe takes one engine's report into the average of n engines, over about
// two reports of each.
func (p *peers) observe(w others, n int) {
	step := 1 / float64(2*max(1, n))
	mix(&p.requests, w.requests, step)
	mix(&p.prompt, w.prompt, step)
	mix(&p.kv, w.kv, step)
}

func mix(f *atomicFloat, v, step float64) { f.store(f.load() + step*(v-f.load())) }

// others is work of other processes at an engine.
type others struct{ requests, prompt, kv float64 }

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
func (n *node) workNow(u *Upstream, age time.Duration) Work {
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
		trust := math.Exp(-age.Seconds() / staleAfter.Seconds())
		o.requests = blend(o.requests, p.requests.load(), trust)
		o.prompt = blend(o.prompt, p.prompt.load(), trust)
		o.kv = blend(o.kv, p.kv.load(), trust)
	}
	own.Requests += int(o.requests + 0.5)
	own.PromptTokens += int(o.prompt)
	own.KVTokens += int(o.kv)
	return own
}

func blend(seen, average, trust float64) float64 { return trust*seen + (1-trust)*average }
