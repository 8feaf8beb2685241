package standin

import (
	"context"
	"time"

	"github.com/google/uuid"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// addExport keeps the KV cache of a prefill for another engine. The caller holds e.mu.
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

// exportedKV is the response to an engine that imports a KV cache.
type exportedKV struct {
	upstream.KVHandle
	// Prompt is a digest of the prompt that the cache is for.
	Prompt uint64 `json:"prompt,string"`
}

// exportOf returns the handle of a prefill's KV cache, or false if the cache isn't kept for
// another engine now.
func (e *Engine) exportOf(s *sequence) (upstream.KVHandle, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.exports[s.id]
	if x == nil || x.seq != s {
		return upstream.KVHandle{}, false
	}
	return x.handle, true
}

// takeExport returns an exported KV cache once and frees its memory; the prompt's blocks
// stay in the prefix cache.
func (e *Engine) takeExport(id string) (exportedKV, bool) {
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
		return exportedKV{KVHandle: x.handle, Prompt: x.seq.prompt}, true
	}
	return exportedKV{}, false
}

// importKV transfers a sequence's KV cache from the engine that holds it and then enqueues
// the sequence. If the transfer fails, this engine prefills the prompt.
func (e *Engine) importKV(s *sequence, from upstream.KVHandle) {
	lifetime, cancelLifetime := e.lifetimeContext()
	defer cancelLifetime()
	ctx, cancel := context.WithTimeout(lifetime, importTimeout)
	defer cancel()
	got, err := httpx.GetJSON[exportedKV](ctx, e.peers.client(from.Engine), engineclient.PathKV+from.ID)
	if err == nil {
		e.sleep(e.config.Speed.transferTime(got.Bytes))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.counters.KVImports++
		e.counters.KVImportBytes += got.Bytes
		if got.Prompt != s.prompt {
			e.counters.WrongKV++
		}
		s.importedTokens = got.Tokens
	} else {
		e.counters.KVImportsFailed++
	}
	if status, _ := s.state(); status == statusRunning {
		e.enqueue(s)
	}
}

// importTimeout bounds the request for a KV cache, not counting the transfer.
const importTimeout = 2 * time.Second
