package router

import (
	"math"
	"time"

	"tamarackchute/infra"
)

// Parameters of learning from this process's attempts.
const (
	// learnStep is the weight of one observation.
	learnStep = 0.08
	// maxFactor and its inverse bound the learned factors.
	maxFactor = 6.0
	// maxRatio and its inverse bound one observation, so that a single stall has
	// little effect.
	maxRatio = 3.0
	// timingSlack is added to both sides of a comparison of times, so that a few
	// milliseconds on a short prompt don't make an engine look slow.
	timingSlack = 0.005
	// minGaps is the least number of token gaps from which a response's rate is
	// learned.
	minGaps = 8
)

// learnFirstToken compares the observed time to first token with the prediction.
// The difference reflects the engine's rate only if a fresh report showed no
// queue; otherwise it reflects a wrong estimate of the queue.
func (ut *upstreamTracker) learnFirstToken(k *Ticket) {
	took := k.firstAt.Sub(k.began).Seconds() + timingSlack
	predicted := k.plan.Estimate.FirstToken.Seconds() + timingSlack
	ut.mu.Lock()
	defer ut.mu.Unlock()
	l := &ut.node.live
	adjust(&l.latencyFactor, took/predicted/l.latencyFactor.load())
	if k.noQueue {
		adjust(&l.prefillFactor, took/predicted)
	}
	prefill := k.plan.Estimate.FirstToken - k.plan.Estimate.Queue
	wait := took - timingSlack - prefill.Seconds()
	if p := ut.node.averages.Load(); p != nil {
		p.observeQueueAhead(max(0, wait/k.secondsPerPromptToken-k.localAhead))
	}
}

// learnKVTransfer compares a KV transfer's time with the configured one. The
// decode step of the first token is subtracted.
func (k *Ticket) learnKVTransfer() {
	from, to := k.transferredFrom.node, k.engine.node
	same := from.dc == to.dc
	s := k.t.snap.Load()
	expected := k.t.cfg.kvTransferSeconds(k.promptTokens, same, s.latency[from.dc][to.dc])
	took := max(0, k.firstAt.Sub(k.transferStart).Seconds()-k.predictedGap)
	f := k.t.kvTransfer.factor(same)
	adjust(f, (took+timingSlack)/(expected*f.load()+timingSlack))
}

// learnCompletion learns from a complete response's rate and length.
func (ut *upstreamTracker) learnCompletion(k *Ticket, now time.Time) {
	ut.mu.Lock()
	defer ut.mu.Unlock()
	l := &ut.node.live
	if ut.node.state.Load().Kind == infra.KindService {
		took := now.Sub(k.began)
		usual := l.serviceTime.Load()
		if usual == 0 {
			usual = int64(took)
		}
		l.serviceTime.Store(usual + int64(learnStep*float64(int64(took)-usual)))
		return
	}
	if p := ut.node.averages.Load(); p != nil {
		p.observeCompletion(now.Sub(k.began).Seconds(), float64(k.produced)/float64(max(1, k.requestedOutput)))
	}
	l.meanOutput.store(l.meanOutput.load() + learnStep*(float64(k.produced)-l.meanOutput.load()))
	if k.produced <= minGaps || k.firstAt.IsZero() {
		return
	}
	seen := now.Sub(k.firstAt).Seconds() / float64(k.produced-1)
	expected := (k.predictedGap + ut.reportedGap()) / 2 * l.gapFactor.load()
	adjust(&l.gapFactor, seen/expected)
}

// reportedGap is the time between tokens by the report alone, in seconds.
func (ut *upstreamTracker) reportedGap() float64 {
	u := ut.node.state.Load()
	l := &ut.node.live
	m := modelOf(&ut.t.cfg, u, l)
	streams := u.Report.Running + u.Report.Waiting + int(l.deltaRequests.Load())
	return m.step(max(1, streams)) / l.gapFactor.load()
}

// adjust moves a learned factor by learnStep towards an observed ratio of measured
// to predicted time.
func adjust(f *atomicFloat, ratio float64) {
	ratio = min(maxRatio, max(1/maxRatio, ratio))
	v := f.load() * math.Pow(ratio, learnStep)
	f.store(min(maxFactor, max(1/maxFactor, v)))
}
