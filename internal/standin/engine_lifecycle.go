package standin

import (
	"errors"
	"slices"
	"time"

	"tamarackchute/internal/adapters/engineclient"
)

// Errors of a submission; none of them has run anything.
var (
	errOutOfService = errors.New("engine is out of service")
	errQueueFull    = errors.New("engine's queue is full")
	errNoModel      = errors.New("model is not loaded")
	errDuplicate    = errors.New("attempt is known already")
	errTooLarge     = errors.New("request exceeds the KV memory")
	errNothingLeft  = errors.New("prior tokens are the whole answer already")
)

// submit takes a request in.
func (e *Engine) submit(m engineclient.GenerateMessage, keepKV bool) (*sequence, error) {
	s := newSequence(m, e.faults.get().Poison)
	s.keepKV = keepKV
	if keepKV {
		s.private -= s.answer.Tokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Requests++
	if e.leaving.overdue(time.Now()) {
		e.counters.WorkAfterTermination++
	}
	if err := e.acceptable(m, s); err != nil {
		e.counters.RefusedNotRun++
		return nil, err
	}
	if m.PriorTokens > 0 && m.Prior != s.answer.Text(0, m.PriorTokens) {
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

func (e *Engine) acceptable(m engineclient.GenerateMessage, s *sequence) error {
	need := len(s.blocks)*blockTokens + s.private
	switch {
	case !e.control.inService, e.stopped:
		return errOutOfService
	case !slices.Contains(e.control.models, m.Model):
		return errNoModel
	case e.batch.queue.Len() >= maxQueued:
		return errQueueFull
	case e.sequences[s.id] != nil:
		return errDuplicate
	case need > e.config.Speed.KVTokens:
		return errTooLarge
	case m.PriorTokens >= s.answer.Tokens:
		return errNothingLeft
	}
	return nil
}

// enqueue is called with the lock held.
func (e *Engine) enqueue(s *sequence) {
	e.batch.enqueue(s)
	e.note(time.Now())
	e.rouse()
}

// end ends a sequence that has left the batch. It is called with the lock held.
func (e *Engine) end(now time.Time, s *sequence, how ending) {
	s.finish(how)
	e.past = append(e.past, endedSequence{seq: s, at: now})
	for len(e.past) > 0 && now.Sub(e.past[0].at) > streamKeep {
		e.forget(e.past[0].seq)
		e.past = e.past[1:]
	}
}

func (e *Engine) forget(s *sequence) {
	if e.sequences[s.id] == s {
		delete(e.sequences, s.id)
	}
}

// cancel drops an attempt; it is idempotent.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[id]
	if s == nil {
		return
	}
	if how, _ := s.state(); how != running {
		return
	}
	e.counters.Cancelled++
	e.dropSequence(s, cancelled)
}

// dropSequence is called with the lock held.
func (e *Engine) dropSequence(s *sequence, how ending) {
	now := time.Now()
	e.batch.drop(s)
	e.end(now, s, how)
	e.note(now)
	e.rouse()
}

// readerLeft gives a stream some time to be taken up again.
func (e *Engine) readerLeft(s *sequence) {
	time.AfterFunc(loneliness, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		how, lonely := s.state()
		if how != running || lonely.IsZero() || time.Since(lonely) < loneliness {
			return
		}
		e.counters.Abandoned++
		e.dropSequence(s, cancelled)
	})
}

// endAll ends all sequences and returns how many of them somebody waited
// for.
func (e *Engine) endAll(how ending) int {
	now := time.Now()
	waitedFor := 0
	for _, s := range e.sequences {
		state, lonely := s.state()
		if state != running {
			continue
		}
		if lonely.IsZero() {
			waitedFor++
		}
		s.admitted = false
		e.end(now, s, how)
	}
	e.batch.empty()
	clear(e.exports)
	return waitedFor
}

// crash loses all that the engine has in memory. The cache events don't tell.
func (e *Engine) crash(c Crash) {
	e.gate.crash(c.down())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Crashes++
	e.counters.InterruptedByCrash += int64(e.endAll(cut))
	clear(e.sequences)
	e.past = nil
	e.kv.clear(false)
	e.control.restart(c.LoseFencingToken)
	e.note(time.Now())
	e.rouse()
}
