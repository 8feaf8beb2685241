package standin

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// EngineConfig configures an engine.
type EngineConfig struct {
	Name string
	Addr string
	TLS  *tls.Config
	// ClientTLS is used for the engine's requests to other engines and the weight store.
	ClientTLS *tls.Config
	Models    []string
	Role      upstream.Role
	// ChecksFencing says whether orders with an outdated fencing token are refused.
	ChecksFencing bool
	// WeightStoreAddr is the address of the weight store. If it is empty, loading a model
	// takes ChangeDuration.
	WeightStoreAddr string
	Speed           Speed
}

// Durations that Speed.Scale does not affect.
const (
	// streamRetention is how long a finished stream can be resumed.
	streamRetention = 15 * time.Second
	// abandonTimeout is how long a running stream without a reader is kept.
	abandonTimeout = 5 * time.Second
	// exportRetention is how long an exported KV cache is kept.
	exportRetention = 30 * time.Second
	// maxCatchUp is the longest delay that the step loop makes up for by skipping waits. A
	// longer one, such as after a pause of the process, is dropped.
	maxCatchUp = 250 * time.Millisecond
)

// maxQueueLength bounds an engine's queue of requests.
const maxQueueLength = 4096

// Engine stands in for a model engine with continuous batching.
type Engine struct {
	*endpoint
	config EngineConfig
	faults *faultState[EngineFaults]
	peers  peerClients
	tasks  conc.WaitGroup
	// wake wakes the step loop after a change.
	wake        chan struct{}
	termination terminationMark

	mu        sync.Mutex
	batch     batch
	kv        *kvCache
	sequences map[string]*sequence
	retained  []endedSequence // ended, still resumable; in order of their end
	// stopped says that no further task may be started.
	stopped  bool
	exports  map[string]*export
	control  controlState
	load     loadHistory
	events   eventLog
	counters EngineCounters
	rng      *rand.Rand
}

type endedSequence struct {
	seq *sequence
	at  time.Time
}

// export is a KV cache kept until another engine imports it.
type export struct {
	seq     *sequence
	handle  upstream.KVHandle
	expires time.Time
}

// NewEngine returns an engine that is already listening.
func NewEngine(c EngineConfig) (*Engine, error) {
	base, err := newEndpoint(c.Name, "engine", c.Addr, c.TLS)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		endpoint:  base,
		config:    c,
		faults:    newFaultState(newEngineFaults()),
		peers:     peerClients{tls: c.ClientTLS},
		wake:      make(chan struct{}, 1),
		sequences: map[string]*sequence{},
		exports:   map[string]*export{},
		load:      newLoadHistory(c.Speed.scaled(c.Speed.LoadLag)),
		rng:       rand.New(rand.NewPCG(faultSeed, modelKey(c.Name))),
	}
	e.kv = newKVCache(c.Speed.KVTokens, e.cacheEvent)
	e.batch = batch{speed: c.Speed, kv: e.kv}
	e.control = newControlState(c)
	e.recordLoad(time.Now())
	return e, nil
}

// cacheEvent records a cache event, or loses it at the rate of Speed.EventLoss. The caller
// holds e.mu.
func (e *Engine) cacheEvent(block uint64, stored bool) {
	lost := e.rng.Float64() < e.config.Speed.EventLoss
	e.events.add(time.Now(), block, stored, lost)
}

// Serve implements Component.
func (e *Engine) Serve(ctx context.Context) error {
	var loop conc.WaitGroup
	loop.Go(func() { e.run(ctx) })
	err := e.serve(ctx, e.handle)
	loop.Wait()
	e.stop()
	e.tasks.Wait()
	return err
}

func (e *Engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.endAll(statusInterrupted)
}

// run executes steps until ctx ends. Each step ends at a scheduled time, and a late step
// doesn't delay the next, so the speed doesn't depend on the timer's resolution.
func (e *Engine) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for ctx.Err() == nil {
		st, ok := e.nextStep()
		if !ok {
			e.waitForWork(ctx)
			due = time.Now()
			continue
		}
		now := time.Now()
		if now.Sub(due) > maxCatchUp {
			due = now
		}
		due = due.Add(e.stepDuration(st))
		if wait := due.Sub(now); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		e.completeStep(st)
	}
}

// stepDuration returns a step's duration on the clock.
func (e *Engine) stepDuration(st step) time.Duration {
	slow := max(1, e.faults.get().SlowFactor)
	return time.Duration(float64(e.config.Speed.scaled(st.prefill+st.decode)) * slow)
}

// waitForWork waits until there may be work.
func (e *Engine) waitForWork(ctx context.Context) {
	_, changed := e.faults.watch()
	select {
	case <-e.wake:
	case <-changed:
	case <-ctx.Done():
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) nextStep() (step, bool) {
	if e.faults.get().Freeze {
		return step{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.control.inService {
		return step{}, false
	}
	role := e.control.state.Role
	st := e.batch.plan(func(prompt, batch int) (time.Duration, time.Duration) {
		return e.config.Speed.prefillTime(role, prompt), e.config.Speed.decodeTime(role, batch)
	})
	return st, !st.empty()
}

func (e *Engine) completeStep(st step) {
	if st.poisoned {
		e.crash(Crash{DownMillis: e.faults.get().RestartMillis})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	done, tokens := e.batch.complete(st)
	c := &e.counters
	c.Steps++
	c.Tokens += int64(tokens)
	c.PrefillMicros += e.config.Speed.scaled(st.prefill).Microseconds()
	c.DecodeMicros += e.config.Speed.scaled(st.decode).Microseconds()
	for _, ch := range st.chunks {
		c.PrefilledTokens += int64(ch.tokens)
	}
	for _, s := range done {
		if s.exportKV {
			e.addExport(now, s)
		}
		c.Completed++
		e.end(now, s, statusFinished)
	}
	e.recordLoad(now)
}

// recordLoad records the load for later reports. The caller holds e.mu.
func (e *Engine) recordLoad(now time.Time) {
	prefill, decode := e.config.Speed.rates(e.control.state.Role)
	e.load.add(upstream.LoadReport{
		At:               now,
		Role:             e.control.state.Role,
		InService:        e.control.inService,
		Running:          len(e.batch.running),
		Waiting:          e.batch.queue.Len(),
		QueuedPrompt:     e.batch.queuedPrompt,
		KVUsedTokens:     e.kv.used(),
		KVTotalTokens:    e.kv.total,
		PrefillPerSecond: prefill,
		DecodePerSecond:  decode,
		MaxBatch:         e.config.Speed.MaxBatch,
		Models:           e.control.models,
		FencingToken:     e.control.state.FencingToken,
		OrdersCompleted:  e.control.completed,
	})
}

// peerClients caches clients for the engine's own requests.
type peerClients struct {
	tls     *tls.Config
	mu      sync.Mutex
	clients map[string]*httpx.Client
}

func (p *peerClients) client(addr string) *httpx.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = httpx.New(addr, httpx.Options{TLS: p.tls, Timeout: peerTimeout})
		if p.clients == nil {
			p.clients = map[string]*httpx.Client{}
		}
		p.clients[addr] = c
	}
	return c
}

// peerTimeout bounds a request for a load of weights or for a KV cache.
const peerTimeout = 10 * time.Minute
