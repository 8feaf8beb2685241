package router

import (
	"math"
	"time"

	"tamarackchute/infra"
)

// The steps of what is learnt from own attempts.
const (
	// learnStep is the weight of one observation.
	learnStep = 0.08
	// factorBound bounds the learnt factors both ways.
	maxFactor = 6.0
	// ratioBound bounds one observation, so that a single stall says little.
	maxRatio = 3.0
	// overhead is added to both sides of a comparison of times, so that a few
	// milliseconds on a short prompt don't count as a slow engine.
	timingSlack = 0.005
	// leastGaps is the number of gaps from which an answer's pace is learnt.
	minGaps = 8
)

// learnFirst compares a first token's time with the predicted one. Only where
// no queue was expected, and the report was young enough to know, does the
// difference say something about the engine's rate; everywhere else it is the
// queue that was guessed wrong.
func (b *upstreamTracker) learnFirstToken(k *Ticket) {
	took := k.firstAt.Sub(k.began).Seconds() + timingSlack
	predicted := k.plan.Estimate.FirstToken.Seconds() + timingSlack
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.node.live
	adjust(&l.latencyFactor, took/predicted/l.latencyFactor.load())
	if k.noQueue {
		adjust(&l.prefillFactor, took/predicted)
	}
	own := k.plan.Estimate.FirstToken - k.plan.Estimate.Queue
	wait := took - timingSlack - own.Seconds()
	if p := b.node.averages.Load(); p != nil {
		p.observeQueueAhead(max(0, wait/k.secondsPerPromptToken-k.localAhead))
	}
}

// learnHandoff compares a KV handoff's time with what the settings give. The
// step that makes the first token is taken off.
func (k *Ticket) learnKVTransfer() {
	from, to := k.transferredFrom.node, k.engine.node
	same := from.dc == to.dc
	s := k.t.snap.Load()
	expected := k.t.cfg.kvTransferSeconds(k.tokens, same, s.latency[from.dc][to.dc])
	took := max(0, k.firstAt.Sub(k.transferStart).Seconds()-k.predictedGap)
	f := k.t.kvTransfer.factor(same)
	adjust(f, (took+timingSlack)/(expected*f.load()+timingSlack))
}

// learnEnd takes a whole answer's pace and length.
func (b *upstreamTracker) learnCompletion(k *Ticket, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.node.live
	if b.node.state.Load().Kind == infra.KindService {
		took := now.Sub(k.began)
		usual := l.serviceTime.Load()
		if usual == 0 {
			usual = int64(took)
		}
		l.serviceTime.Store(usual + int64(learnStep*float64(int64(took)-usual)))
		return
	}
	if p := b.node.averages.Load(); p != nil {
		p.observeCompletion(now.Sub(k.began).Seconds(), float64(k.produced)/float64(max(1, k.requestedOutput)))
	}
	l.meanOutput.store(l.meanOutput.load() + learnStep*(float64(k.produced)-l.meanOutput.load()))
	if k.produced <= minGaps || k.firstAt.IsZero() {
		return
	}
	seen := now.Sub(k.firstAt).Seconds() / float64(k.produced-1)
	expected := (k.predictedGap + b.reportedGap()) / 2 * l.gapFactor.load()
	adjust(&l.gapFactor, seen/expected)
}

// rawGap is the time between tokens by the report alone, in seconds.
func (b *upstreamTracker) reportedGap() float64 {
	u := b.node.state.Load()
	l := &b.node.live
	m := modelOf(&b.t.cfg, u, l)
	streams := u.Report.Running + u.Report.Waiting + int(l.deltaRequests.Load())
	return m.step(max(1, streams)) / l.gapFactor.load()
}

// adjust moves a factor by a part of an observed ratio of seen to predicted.
func adjust(f *atomicFloat, ratio float64) {
	ratio = min(maxRatio, max(1/maxRatio, ratio))
	v := f.load() * math.Pow(ratio, learnStep)
	f.store(min(maxFactor, max(1/maxFactor, v)))
}
