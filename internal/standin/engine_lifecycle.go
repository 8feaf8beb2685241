package standin

import (
	"errors"
	"slices"
	"time"

	"tamarackchute/internal/adapters/engineclient"
)

// Errors of submit; the request has not run.
var (
	errOutOfService  = errors.New("engine is out of service")
	errQueueFull     = errors.New("engine's queue is full")
	errNoModel       = errors.New("model is not loaded")
	errDuplicate     = errors.New("attempt is known already")
	errTooLarge      = errors.New("request exceeds the KV memory")
	errPriorComplete = errors.New("prior tokens are the whole answer already")
)

// submit accepts a request. With exportKV it only prefills the prompt and keeps the KV
// cache.
func (e *Engine) submit(m engineclient.GenerateMessage, exportKV bool) (*sequence, error) {
	s := newSequence(m, e.faults.get().Poison)
	s.exportKV = exportKV
	if exportKV {
		s.privateTokens -= s.completion.Tokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Requests++
	if e.termination.graceExpired(time.Now()) {
		e.counters.WorkAfterTermination++
	}
	if err := e.checkRequest(m, s); err != nil {
		e.counters.RefusedNotRun++
		return nil, err
	}
	if m.PriorTokens > 0 && m.Prior != s.completion.Text(0, m.PriorTokens) {
		e.counters.WrongPrior++
	}
	e.counters.PromptTokens += int64(s.promptTokens)
	e.sequences[s.id] = s
	if m.KV != nil {
		e.tasks.Go(func() { e.importKV(s, *m.KV) })
		return s, nil
	}
	e.enqueue(s)
	return s, nil
}

func (e *Engine) checkRequest(m engineclient.GenerateMessage, s *sequence) error {
	needed := len(s.blocks)*blockTokens + s.privateTokens
	switch {
	case !e.control.inService, e.stopped:
		return errOutOfService
	case !slices.Contains(e.control.models, m.Model):
		return errNoModel
	case e.batch.queue.Len() >= maxQueueLength:
		return errQueueFull
	case e.sequences[s.id] != nil:
		return errDuplicate
	case needed > e.config.Speed.KVTokens:
		return errTooLarge
	case m.PriorTokens >= s.completion.Tokens:
		return errPriorComplete
	}
	return nil
}

// enqueue adds a sequence to the queue. The caller holds e.mu.
func (e *Engine) enqueue(s *sequence) {
	e.batch.enqueue(s)
	e.recordLoad(time.Now())
	e.wakeLoop()
}

// end sets the final status of a sequence that is no longer in the batch, and forgets those
// whose streams can no longer be resumed. The caller holds e.mu.
func (e *Engine) end(now time.Time, s *sequence, status sequenceStatus) {
	s.finish(status)
	e.retained = append(e.retained, endedSequence{seq: s, at: now})
	for len(e.retained) > 0 && now.Sub(e.retained[0].at) > streamRetention {
		e.forget(e.retained[0].seq)
		e.retained = e.retained[1:]
	}
}

func (e *Engine) forget(s *sequence) {
	if e.sequences[s.id] == s {
		delete(e.sequences, s.id)
	}
}

// cancel ends an attempt; it is idempotent.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[id]
	if s == nil {
		return
	}
	if status, _ := s.state(); status != statusRunning {
		return
	}
	e.counters.Cancelled++
	e.dropSequence(s, statusCancelled)
}

// dropSequence removes a running sequence and ends it. The caller holds e.mu.
func (e *Engine) dropSequence(s *sequence, status sequenceStatus) {
	now := time.Now()
	e.batch.drop(s)
	e.end(now, s, status)
	e.recordLoad(now)
	e.wakeLoop()
}

// readerClosed drops the sequence unless its stream is resumed within abandonTimeout.
func (e *Engine) readerClosed(s *sequence) {
	time.AfterFunc(abandonTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		status, unreadSince := s.state()
		if status != statusRunning || unreadSince.IsZero() || time.Since(unreadSince) < abandonTimeout {
			return
		}
		e.counters.Abandoned++
		e.dropSequence(s, statusCancelled)
	})
}

// endAll ends all sequences and returns how many of them a caller still waited for. The
// caller holds e.mu.
func (e *Engine) endAll(status sequenceStatus) int {
	now := time.Now()
	interrupted := 0
	for _, s := range e.sequences {
		state, unreadSince := s.state()
		if state != statusRunning {
			continue
		}
		if unreadSince.IsZero() {
			interrupted++
		}
		s.admitted = false
		e.end(now, s, status)
	}
	e.batch.reset()
	clear(e.exports)
	return interrupted
}

// crash loses the engine's in-memory state. No cache event is emitted for the lost blocks.
func (e *Engine) crash(c Crash) {
	e.listener.crash(c.down())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Crashes++
	e.counters.InterruptedByCrash += int64(e.endAll(statusInterrupted))
	clear(e.sequences)
	e.retained = nil
	e.kv.clear(false)
	e.control.restart(c.LoseFencingToken)
	e.recordLoad(time.Now())
	e.wakeLoop()
}
