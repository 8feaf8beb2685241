package router

import (
	"time"

	"tamarackchute/upstream"
)

// poolAverages holds the average work of other processes at the engines of one
// pool and role. The older a report, the less it says about that work, so the
// estimate is a mean of the report and the pool's average. By the report alone,
// all processes would choose the engines that it shows idle.
type poolAverages struct {
	requests, prompt, kv atomicFloat
	// responseTime is the mean duration of a successful attempt, in seconds.
	responseTime atomicFloat
	// outputFraction is the mean output length as a fraction of the requested one.
	outputFraction atomicFloat
}

// averagesKey identifies engines that are averaged together.
type averagesKey struct {
	pool string
	role upstream.Role
}

// observe updates the average over n engines with one engine's report, over about
// two reports of each; an older report has less weight.
func (p *poolAverages) observe(w remoteWork, n int, trust float64) {
	step := trust / float64(2*max(1, n))
	updateEWMA(&p.requests, w.requests, step)
	updateEWMA(&p.prompt, w.prompt, step)
	updateEWMA(&p.kv, w.kv, step)
}

// observeQueueAhead updates the average with the remote prompt tokens that a local
// request found ahead of it. A first token is fresher than a report: processes
// that rely on delayed reports alone stop sending, and resume, all at once.
func (p *poolAverages) observeQueueAhead(prompt float64) {
	updateEWMA(&p.prompt, prompt, observationWeight)
}

// observeCompletion records the duration and output fraction of a complete
// response.
func (p *poolAverages) observeCompletion(took, output float64) {
	if p.responseTime.load() == 0 {
		p.responseTime.store(took)
		p.outputFraction.store(1)
	}
	updateEWMA(&p.outputFraction, min(1, output), outputWeight)
	updateEWMA(&p.responseTime, took, observationWeight)
}

// expectedOutput is the expected number of output tokens. The requested length is
// only an upper bound; used as the estimate, it would refuse requests that would
// have met their deadlines.
func (n *node) expectedOutput(r *Request) float64 {
	requested := float64(max(0, r.OutputTokens-1))
	p := n.averages.Load()
	if p == nil || p.outputFraction.load() == 0 {
		return requested
	}
	return requested * p.outputFraction.load()
}

// outputWeight is the weight of one response's length.
const outputWeight = 0.02

// observationWeight is the weight of one queue or response time observation.
const observationWeight = 0.1

func updateEWMA(f *atomicFloat, v, step float64) { f.store(f.load() + step*(v-f.load())) }

// remoteWork is the work of other processes at an engine.
type remoteWork struct{ requests, prompt, kv float64 }

// staleAfter is the report age at which a report has a weight of a quarter: a
// fraction of the response time, in which the prompts that it saw are prefilled.
func (p *poolAverages) staleAfter(cfg *Config) time.Duration {
	share := seconds(cfg.StaleFraction * p.responseTime.load())
	if share <= 0 {
		return cfg.StaleAfter
	}
	return min(share, cfg.StaleAfter)
}

// remoteWorkAt is the report's work of other processes: the total less the local
// work at the time of measurement.
func remoteWorkAt(u *Upstream, l *liveState) remoteWork {
	remote := func(reported int, local, since int64) float64 {
		return max(0, float64(int64(reported)-(local-since)))
	}
	return remoteWork{
		remote(u.Report.Running+u.Report.Waiting, l.inFlight.Load(), l.deltaRequests.Load()),
		remote(u.Report.QueuedPrompt, l.localPrompt.Load(), l.deltaPrompt.Load()),
		remote(u.Report.KVUsedTokens, l.localKV.Load(), l.deltaKV.Load()),
	}
}

// currentWork estimates the work in flight at an engine: the local work, which is
// known, and the remote work by report and average.
func (n *node) currentWork(cfg *Config, u *Upstream, age time.Duration) Work {
	l := &n.live
	local := Work{
		Requests:     int(l.inFlight.Load()),
		PromptTokens: int(l.localPrompt.Load()),
		KVTokens:     int(l.localKV.Load()),
		OutputTokens: int(l.localOutput.Load()),
	}
	if u.ReportAt.IsZero() {
		return local
	}
	o := remoteWorkAt(u, l)
	if p := n.averages.Load(); p != nil {
		trust := reportWeight(age, p.staleAfter(cfg))
		o.requests = blend(o.requests, p.requests.load(), trust)
		o.prompt = blend(o.prompt, p.prompt.load(), trust)
		o.kv = blend(o.kv, p.kv.load(), trust)
	}
	local.Requests += int(o.requests + 0.5)
	local.PromptTokens += int(o.prompt)
	local.KVTokens += int(o.kv)
	return local
}

// reportWeight falls from 1 at age 0 to a quarter at staleAfter.
func reportWeight(age, staleAfter time.Duration) float64 {
	t := float64(staleAfter) / float64(staleAfter+age)
	return t * t
}

func blend(seen, average, trust float64) float64 { return trust*seen + (1-trust)*average }
