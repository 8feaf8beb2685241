package standin

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

const contentLines = "application/x-ndjson"

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	if serveAdmin(e, ctx) || applyOutage(e.endpoint, e.faults, ctx) {
		return
	}
	if !e.awaitUnfrozen("") {
		dropConnection(ctx)
		return
	}
	path := string(ctx.Path())
	switch {
	case path == engineclient.PathGenerate:
		e.handleGenerate(ctx)
	case path == engineclient.PathPrefill:
		e.handlePrefill(ctx)
	case strings.HasPrefix(path, engineclient.PathStreams):
		e.handleStream(ctx, strings.TrimPrefix(path, engineclient.PathStreams))
	case strings.HasPrefix(path, engineclient.PathKV):
		e.handleKV(ctx, strings.TrimPrefix(path, engineclient.PathKV))
	case path == engineclient.PathLoad:
		e.handleLoad(ctx)
	case path == engineclient.PathCacheEvents:
		e.handleCacheEvents(ctx)
	case path == engineclient.PathOrder:
		e.handleOrder(ctx)
	case path == engineclient.PathState:
		replyJSON(ctx, e.State())
	default:
		ctx.NotFound()
	}
}

// awaitUnfrozen blocks while the engine is frozen or the sender is partitioned from it; it
// reports false once the engine has ended.
func (e *Engine) awaitUnfrozen(sender string) bool {
	f, changed := e.faults.watch()
	for f.Freeze || f.outageFor(sender) == OutageHang {
		if !e.await(changed) {
			return false
		}
		f, changed = e.faults.watch()
	}
	return true
}

func (e *Engine) handleGenerate(ctx *fasthttp.RequestCtx) {
	s := e.submitRequest(ctx, false)
	if s == nil {
		return
	}
	r := s.open()
	if e.faults.trigger(func(f *EngineFaults) *Trigger { return &f.CloseGenerate }) {
		r.onUnread = e.readerClosed
		_ = r.Close()
		dropConnection(ctx)
		return
	}
	if e.faults.trigger(func(f *EngineFaults) *Trigger { return &f.BreakStream }) {
		r.breakAt = s.firstToken + e.faults.get().BreakAt
	}
	e.stream(ctx, r, e.answeredAttempt(s))
}

// answeredAttempt returns the ID of the attempt that the response names.
func (e *Engine) answeredAttempt(s *sequence) string {
	if e.faults.trigger(func(f *EngineFaults) *Trigger { return &f.WrongAttemptID }) {
		return "crossed-" + s.id
	}
	return s.id
}

// submitRequest submits the request in the body, or answers with an error and returns nil.
func (e *Engine) submitRequest(ctx *fasthttp.RequestCtx, exportKV bool) *sequence {
	var m engineclient.GenerateMessage
	if err := json.Unmarshal(ctx.PostBody(), &m); err != nil || m.AttemptID == "" {
		ctx.Error("request can't be read", fasthttp.StatusBadRequest)
		return nil
	}
	if e.faults.trigger(func(f *EngineFaults) *Trigger { return &f.Refuse }) {
		replyNotRun(ctx, fasthttp.StatusServiceUnavailable, "engine takes no work")
		return nil
	}
	s, err := e.submit(m, exportKV)
	switch {
	case err == nil:
		return s
	case errors.Is(err, errOutOfService), errors.Is(err, errNoModel):
		replyNotRun(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	case errors.Is(err, errQueueFull):
		replyNotRun(ctx, fasthttp.StatusTooManyRequests, err.Error())
	case errors.Is(err, errDuplicate):
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	default:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
	return nil
}

func (e *Engine) stream(ctx *fasthttp.RequestCtx, r *tokenReader, attempt string) {
	sender := string(ctx.Request.Header.Peek(httpx.HeaderSender))
	r.awaitUnfrozen = func() bool { return e.awaitUnfrozen(sender) }
	r.onUnread = e.readerClosed
	ctx.SetContentType(contentLines)
	ctx.Response.Header.Set(httpx.HeaderAttempt, attempt)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(r, -1)
}

func (e *Engine) handlePrefill(ctx *fasthttp.RequestCtx) {
	s := e.submitRequest(ctx, true)
	if s == nil {
		return
	}
	select {
	case <-s.done:
	case <-e.ended:
	}
	handle, ok := e.exportOf(s)
	if !ok {
		dropConnection(ctx)
		return
	}
	ctx.Response.Header.Set(httpx.HeaderAttempt, e.answeredAttempt(s))
	replyJSON(ctx, handle)
}

func (e *Engine) handleStream(ctx *fasthttp.RequestCtx, id string) {
	if ctx.IsDelete() {
		e.cancel(id)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	r := e.resume(id, ctx.QueryArgs().GetUintOrZero("from"))
	if r == nil {
		ctx.Error("stream is not known", fasthttp.StatusGone)
		return
	}
	e.stream(ctx, r, id)
}

func (e *Engine) resume(id string, from int) *tokenReader {
	e.mu.Lock()
	defer e.mu.Unlock()
	var r *tokenReader
	if s := e.sequences[id]; s != nil {
		r = s.resume(from)
	}
	if r == nil {
		e.counters.ResumeGone++
		return nil
	}
	e.counters.Resumed++
	return r
}

func (e *Engine) handleKV(ctx *fasthttp.RequestCtx, id string) {
	if e.faults.trigger(func(f *EngineFaults) *Trigger { return &f.FailExports }) {
		ctx.Error("export failed", fasthttp.StatusInternalServerError)
		return
	}
	handle, ok := e.takeExport(id)
	if !ok {
		ctx.Error("no such KV cache", fasthttp.StatusGone)
		return
	}
	e.count(func(c *EngineCounters) { c.KVExports++ })
	replyJSON(ctx, handle)
}

func (e *Engine) handleLoad(ctx *fasthttp.RequestCtx) {
	if e.faults.get().FailLoadReports {
		ctx.Error("no load report", fasthttp.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	r := e.load.at(time.Now())
	e.mu.Unlock()
	replyJSON(ctx, r)
}

func (e *Engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := uintArg(ctx, "after")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	before := time.Now().Add(-e.config.Speed.scaled(e.config.Speed.EventLag))
	e.mu.Lock()
	events := e.events.after(after, before)
	e.mu.Unlock()
	replyJSON(ctx, engineclient.CacheEventsReply{Events: events})
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o upstream.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if e.faults.trigger(func(f *EngineFaults) *Trigger { return &f.DelayOrder }) {
		delay := time.Duration(e.faults.get().OrderDelayMillis) * time.Millisecond
		time.AfterFunc(delay, func() { _ = e.order(o) })
		dropConnection(ctx)
		return
	}
	err := e.order(o)
	if e.faults.trigger(func(f *EngineFaults) *Trigger { return &f.LoseOrderReply }) {
		dropConnection(ctx)
		return
	}
	switch {
	case err == nil:
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case errors.Is(err, upstream.ErrFenced):
		ctx.Error(err.Error(), engineclient.StatusFenced)
	case errors.Is(err, upstream.ErrBusy):
		ctx.Error(err.Error(), engineclient.StatusBusy)
	default:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

func (e *Engine) count(add func(*EngineCounters)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	add(&e.counters)
}

// SetTerminating records whether the list shows the engine as terminating.
func (e *Engine) SetTerminating(terminating bool) { e.termination.set(time.Now(), terminating) }

// TerminatingSince returns since when the list has shown the engine as terminating; zero if
// it doesn't.
func (e *Engine) TerminatingSince() time.Time { return e.termination.start() }

// Counters returns the counters.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// CountersJSON implements Component.
func (e *Engine) CountersJSON() []byte { return encode(e.Counters()) }

// FaultsJSON implements Component.
func (e *Engine) FaultsJSON() []byte { return encode(e.faults.get()) }

// SetFaults implements Component.
func (e *Engine) SetFaults(doc []byte) error {
	if err := e.faults.merge(doc); err != nil {
		return err
	}
	f := e.faults.get()
	if f.Crash != nil {
		e.faults.set(func(f *EngineFaults) { f.Crash = nil })
		e.crash(*f.Crash)
	}
	return nil
}
