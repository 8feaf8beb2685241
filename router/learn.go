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
	factorBound = 6.0
	// ratioBound bounds one observation, so that a single stall says little.
	ratioBound = 3.0
	// overhead is added to both sides of a comparison of times, so that a few
	// milliseconds on a short prompt don't count as a slow engine.
	overhead = 0.005
	// leastGaps is the number of gaps from which an answer's pace is learnt.
	leastGaps = 8
)

// learnFirst compares a first token's time with the predicted one. Only where
// no queue was expected, and the report was young enough to know, does the
// difference say something about the engine's rate; everywhere else it is the
// queue that was guessed wrong.
func (b *book) learnFirst(k *Ticket) {
	took := k.firstAt.Sub(k.began).Seconds() + overhead
	predicted := k.plan.Estimate.FirstToken.Seconds() + overhead
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.node.live
	adjust(&l.slowness, took/predicted/l.slowness.load())
	if k.quiet {
		adjust(&l.prefillFactor, took/predicted)
	}
	own := k.plan.Estimate.FirstToken - k.plan.Estimate.Queue
	wait := took - overhead - own.Seconds()
	if p := b.node.peers.Load(); p != nil {
		p.met(max(0, wait/k.pace-k.ownAhead))
	}
}

// learnHandoff compares a KV handoff's time with what the settings give. The
// step that makes the first token is taken off.
func (k *Ticket) learnHandoff() {
	from, to := k.movedFrom.node, k.engine.node
	same := from.dc == to.dc
	s := k.t.snap.Load()
	expected := k.t.cfg.handoffSeconds(k.tokens, same, s.latency[from.dc][to.dc])
	took := max(0, k.firstAt.Sub(k.movedAt).Seconds()-k.gap)
	f := k.t.handoff.factor(same)
	adjust(f, (took+overhead)/(expected*f.load()+overhead))
}

// learnEnd takes a whole answer's pace and length.
func (b *book) learnEnd(k *Ticket, now time.Time) {
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
	if p := b.node.peers.Load(); p != nil {
		p.ended(now.Sub(k.began).Seconds(), float64(k.produced)/float64(max(1, k.asked)))
	}
	l.meanOutput.store(l.meanOutput.load() + learnStep*(float64(k.produced)-l.meanOutput.load()))
	if k.produced <= leastGaps || k.firstAt.IsZero() {
		return
	}
	seen := now.Sub(k.firstAt).Seconds() / float64(k.produced-1)
	expected := (k.gap + b.rawGap()) / 2 * l.gapFactor.load()
	adjust(&l.gapFactor, seen/expected)
}

// rawGap is the time between tokens by the report alone, in seconds.
func (b *book) rawGap() float64 {
	u := b.node.state.Load()
	l := &b.node.live
	m := modelOf(&b.t.cfg, u, l)
	streams := u.Report.Running + u.Report.Waiting + int(l.requests.Load())
	return m.step(max(1, streams)) / l.gapFactor.load()
}

// adjust moves a factor by a part of an observed ratio of seen to predicted.
func adjust(f *atomicFloat, ratio float64) {
	ratio = min(ratioBound, max(1/ratioBound, ratio))
	v := f.load() * math.Pow(ratio, learnStep)
	f.store(min(factorBound, max(1/factorBound, v)))
}
