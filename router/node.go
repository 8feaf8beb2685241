package router

import (
	"math"
	"sync/atomic"
	"time"
)

// health is an upstream's state of outlier ejection.
type health uint32

const (
	healthy health = iota
	ejected        // rejected until ejectedUntil, then probing
	probing        // takes one request at a time until enough succeed
)

// node is one upstream in a snapshot. Its identity never changes; state is
// replaced as a whole, and live is updated in place, so that two picks in the same
// millisecond see each other's work without a new snapshot.
type node struct {
	id       int32
	dc       int32
	averages atomic.Pointer[poolAverages] // nil in snapshots made without a Tracker
	state    atomic.Pointer[Upstream]
	live     liveState
}

// liveState is the part of an upstream's state that each request changes.
type liveState struct {
	// Corrections of the report: the sums of the deltas since its measurement.
	deltaRequests, deltaPrompt, deltaKV atomic.Int64
	// This process's work in flight, independent of the report.
	inFlight, localPrompt, localKV, localOutput atomic.Int64
	health                                      atomic.Uint32
	ejectedUntil                                atomic.Int64 // Unix nanoseconds
	unreachable                                 atomic.Bool  // ejected because it can't be reached
	silent                                      atomic.Bool  // fails more in a row than usual
	probes                                      atomic.Int64 // requests in flight that are probes
	prefillFactor                               atomicFloat
	gapFactor                                   atomicFloat
	latencyFactor                               atomicFloat // observed over predicted time, queueing included
	failureRate                                 atomicFloat
	meanOutput                                  atomicFloat  // tokens of a response
	serviceTime                                 atomic.Int64 // nanoseconds
}

// atomicFloat is a float64 with atomic load and store.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// newNode returns a node whose live state starts from the values in u.
func newNode(id, dc int32, u Upstream) *node {
	n := &node{id: id, dc: dc}
	n.live.deltaRequests.Store(int64(u.LocalDelta.Requests))
	n.live.deltaPrompt.Store(int64(u.LocalDelta.PromptTokens))
	n.live.localOutput.Store(int64(u.LocalDelta.OutputTokens))
	n.live.deltaKV.Store(int64(u.LocalDelta.KVTokens))
	n.live.inFlight.Store(int64(u.InFlight))
	n.live.localPrompt.Store(int64(u.LocalDelta.PromptTokens))
	n.live.localKV.Store(int64(u.LocalDelta.KVTokens))
	n.live.prefillFactor.store(factorOrOne(u.PrefillFactor))
	n.live.gapFactor.store(factorOrOne(u.GapFactor))
	n.live.failureRate.store(u.FailureRate)
	n.live.latencyFactor.store(1)
	n.live.meanOutput.store(defaultOutputTokens)
	n.live.serviceTime.Store(int64(u.ServiceTime))
	switch {
	case u.Ejected:
		n.live.health.Store(uint32(ejected))
		n.live.ejectedUntil.Store(math.MaxInt64)
		n.live.silent.Store(true)
	case u.Probing:
		n.live.health.Store(uint32(probing))
	}
	n.state.Store(&u)
	return n
}

func factorOrOne(f float64) float64 {
	if f <= 0 {
		return 1
	}
	return f
}

// healthAt returns the health at a time: an ejection that has expired counts as
// probing.
func (n *node) healthAt(now time.Time) health {
	h := health(n.live.health.Load())
	if h == ejected && now.UnixNano() >= n.live.ejectedUntil.Load() {
		return probing
	}
	return h
}

// view returns the upstream's current state with the live values filled in.
func (n *node) view(now time.Time) Upstream {
	u := *n.state.Load()
	u.LocalDelta = Work{
		Requests:     int(n.live.deltaRequests.Load()),
		PromptTokens: int(n.live.deltaPrompt.Load()),
		KVTokens:     int(n.live.deltaKV.Load()),
		OutputTokens: int(n.live.localOutput.Load()),
	}
	u.InFlight = int(n.live.inFlight.Load())
	u.PrefillFactor = n.live.prefillFactor.load()
	u.GapFactor = n.live.gapFactor.load()
	u.FailureRate = n.live.failureRate.load()
	u.ServiceTime = time.Duration(n.live.serviceTime.Load())
	h := n.healthAt(now)
	u.Ejected = h == ejected
	u.Probing = h == probing
	return u
}
