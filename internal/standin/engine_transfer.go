package standin

import (
	"context"
	"time"

	"github.com/google/uuid"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// keepExport keeps a prefill's KV cache for another engine. It is called with
// the lock held.
func (e *Engine) addExport(now time.Time, s *sequence) {
	handle := upstream.KVHandle{
		Engine: e.Addr(),
		ID:     uuid.NewString(),
		Tokens: s.promptTokens,
		Bytes:  int64(s.promptTokens) * e.config.Speed.KVBytesPerToken,
	}
	e.exports[s.id] = &export{seq: s, handle: handle, expires: now.Add(exportRetention)}
	time.AfterFunc(exportRetention, func() { e.takeExport(handle.ID) })
}

// exportOf returns the handle that a prefill has made.
func (e *Engine) exportOf(s *sequence) (upstream.KVHandle, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.exports[s.id]
	if x == nil || x.seq != s {
		return upstream.KVHandle{}, false
	}
	return x.handle, true
}

// takeExport hands out a kept KV cache, once, and frees its memory: the prompt
// stays in the prefix cache.
func (e *Engine) takeExport(id string) (upstream.KVHandle, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for attempt, x := range e.exports {
		if x.handle.ID != id {
			continue
		}
		delete(e.exports, attempt)
		e.batch.free(x.seq)
		e.recordLoad(time.Now())
		e.wakeLoop()
		return x.handle, true
	}
	return upstream.KVHandle{}, false
}

// importKV fetches a sequence's KV cache from the engine that has it, then
// lets the sequence join the queue. If that fails, the prompt is worked
// through here.
func (e *Engine) importKV(s *sequence, from upstream.KVHandle) {
	lifetime, cancelLifetime := e.lifetimeContext()
	defer cancelLifetime()
	ctx, cancel := context.WithTimeout(lifetime, importTimeout)
	defer cancel()
	got, err := httpx.GetJSON[upstream.KVHandle](ctx, e.peers.client(from.Engine), engineclient.PathKV+from.ID)
	if err == nil {
		e.sleep(e.config.Speed.transferTime(got.Bytes))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.counters.KVImports++
		e.counters.KVImportBytes += got.Bytes
		s.importedTokens = got.Tokens
	} else {
		e.counters.KVImportsFailed++
	}
	if status, _ := s.state(); status == statusRunning {
		e.enqueue(s)
	}
}

// importTimeout bounds the request for KV cache, beside its transfer.
const importTimeout = 2 * time.Second
