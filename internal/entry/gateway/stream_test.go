package gateway_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

const (
	plainBody  = `{"model":"m","prompt":"a b c","max_tokens":50}`
	streamBody = `{"model":"m","prompt":"a b c","max_tokens":50,"stream":true,"stream_options":{"include_usage":true}}`
	path       = "/v1/completions"
)

func TestAnswersPlainAndStreamed(t *testing.T) {
	r := newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e1": newEngine(5)}})
	plain := r.post(t, path, plainBody)
	require.Equal(t, 200, plain.StatusCode)
	require.Equal(t, string(outcome.Completed), plain.Header.Get(outcome.Header))
	require.Contains(t, readBody(t, plain), `"text":"`+fullText(5)+`"`)

	streamed := r.post(t, path, streamBody)
	body := readBody(t, streamed)
	require.Equal(t, "text/event-stream", streamed.Header.Get("Content-Type"))
	require.Equal(t, 5, strings.Count(body, "id: "))
	require.Contains(t, body, `"usage":{"prompt_tokens":4,"completion_tokens":5,"total_tokens":9}`)
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
}

// An engine crashes in the middle of a stream. The caller must get every token once
// and in order from another engine, which continues from the text so far, and the
// usual end.
func TestStreamContinuesAfterEngineCrash(t *testing.T) {
	crashedOnce := new(atomic.Bool)
	engines := map[string]*fakeEngine{"e1": newEngine(12), "e2": newEngine(12)}
	for _, e := range engines {
		e.crashAt, e.crashedOnce = 5, crashedOnce
	}
	r := newHarness(t, &fakeDeps{engines: engines})
	got, _, last := events(r.post(t, path, streamBody)).tokens(t, -1)
	require.Equal(t, fullText(12), got)
	require.Equal(t, "[DONE]", last.data)

	first, second := engines["e1"].seen(), engines["e2"].seen()
	if engines["e2"].crashed.Load() {
		first, second = second, first
	}
	require.Len(t, first, 1)
	require.Len(t, second, 1)
	require.Equal(t, 5, second[0].PriorTokens)
	require.Equal(t, fullText(5), second[0].Prior)
	require.NotEqual(t, first[0].AttemptID, second[0].AttemptID)
}

// An engine crashes after its stream has exceeded the buffered text, or when no other
// engine exists. The caller must see an error event and no [DONE], so that it can't
// take the partial answer for a complete one.
func TestInterruptedStreamEndsWithError(t *testing.T) {
	for name, tc := range map[string]struct {
		crashAt int
		others  int
		code    outcome.Code
	}{
		"outgrown":        {800, 1, outcome.CodeStreamLost},
		"no other engine": {5, 0, outcome.CodeNoUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			engines := map[string]*fakeEngine{}
			for _, n := range []string{"e1", "e2"}[:tc.others+1] {
				engines[n] = newEngine(1000)
				engines[n].crashAt = tc.crashAt
			}
			got, _, last := events(newHarness(t, &fakeDeps{engines: engines}).post(t, path, streamBody)).tokens(t, -1)
			require.Equal(t, fullText(tc.crashAt), got)
			require.Equal(t, "error", last.name)
			require.Contains(t, last.data, `"code":"`+string(tc.code)+`"`)
			require.Contains(t, last.data, `"outcome":"may-have-run"`)
		})
	}
}

// An entry instance is killed while it streams, and the caller repeats its request at
// another instance with the last event's id. It must get exactly the remaining tokens,
// even if the engine crashes then too, as the second instance has the text from the
// engine. Another organisation with the same id must be refused.
func TestResumeAtAnotherInstance(t *testing.T) {
	engine := newEngine(20)
	engine.stallAt = 8
	first := newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e1": engine}})
	head, id, _ := events(first.post(t, path, streamBody)).tokens(t, 7)
	require.Equal(t, fullText(7), head)

	crashing := newEngine(20)
	crashing.crashAt = 12
	second := newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e1": crashing, "e2": newEngine(20)}})
	tail, _, last := events(second.post(t, path, streamBody, "Last-Event-ID", id)).tokens(t, -1)
	require.Equal(t, fullText(20), head+tail)
	require.Equal(t, "[DONE]", last.data)

	otherCaller := second.post(t, path, streamBody, "Last-Event-ID", id, "OpenAI-Organization", "other")
	require.Equal(t, 400, otherCaller.StatusCode)
	require.Contains(t, readBody(t, otherCaller), outcome.CodeInvalidEventID)

	gone := second.post(t, path, streamBody, "Last-Event-ID", id)
	require.Equal(t, 410, gone.StatusCode)
	require.Equal(t, string(outcome.MayHaveRun), gone.Header.Get(outcome.Header))
}

// A stream is still open when the grace period of a shutdown ends. The caller must get
// an error, and the stream must not be cancelled at the engine, so that the caller can
// resume it at another instance.
func TestAbortKeepsEngineStreams(t *testing.T) {
	engine := newEngine(20)
	engine.stallAt = 4
	r := newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e1": engine}})
	s := events(r.post(t, path, streamBody))
	s.tokens(t, 4)
	r.gateway.Abort()
	_, _, last := s.tokens(t, -1)
	require.Equal(t, "error", last.name)
	require.Contains(t, last.data, outcome.CodeShuttingDown)
	r.gateway.Wait()
	require.Empty(t, engine.cancelled)
}

// A caller closes its connection during a long prefill. Nothing is written then, so no
// write fails, and fasthttp doesn't read the connection. Guards against an engine that
// keeps working for a closed connection.
func TestCallerGoneWhileEngineIsSilent(t *testing.T) {
	for name, body := range map[string]string{"plain": plainBody, "streamed": streamBody} {
		t.Run(name, func(t *testing.T) {
			engine := newEngine(20)
			engine.stallAt = 0
			r := newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e1": engine}}, func(o *gateway.Options) {
				o.Heartbeat = time.Hour // so that no failed write reveals the closed connection
			})
			conn, err := net.Dial("tcp", r.address)
			require.NoError(t, err)
			_, err = io.WriteString(conn, request(body))
			require.NoError(t, err)
			for len(engine.seen()) == 0 {
				require.NoError(t, t.Context().Err())
			}
			require.NoError(t, conn.Close())
			require.Equal(t, engine.seen()[0].AttemptID, <-engine.cancelled)
			for r.gateway.Active() > 0 {
				require.NoError(t, t.Context().Err())
			}
		})
	}
}

func request(body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// Guards against callers that time out during a long prefill: they must get the
// headers and heartbeats meanwhile.
func TestHeartbeatsWhileEngineIsSilent(t *testing.T) {
	engine := newEngine(20)
	engine.stallAt = 2
	r := newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e1": engine}})
	s := events(r.post(t, path, streamBody))
	s.tokens(t, 2)
	for range 3 {
		e, more := s.next()
		require.True(t, more)
		require.Equal(t, sseEvent{}, e)
	}
}

// A request that an engine refused, or that couldn't be sent, certainly did not run
// and may be retried in every class except never. One that broke off may have run and
// is retried only if it is repeatable.
func TestRetryClasses(t *testing.T) {
	for _, tc := range []struct {
		retry   rules.RetryClass
		failure error
		engines int
		status  int
		ran     outcome.Execution
	}{
		{rules.RetryUnsent, upstream.ErrRefused, 3, 503, outcome.NotRun},
		{rules.RetryUnsent, upstream.ErrNotSent, 3, 503, outcome.NotRun},
		{rules.RetryNever, upstream.ErrNotSent, 1, 503, outcome.NotRun},
		{rules.RetryUnsent, upstream.ErrBroken, 1, 502, outcome.MayHaveRun},
		{rules.RetryRepeatable, upstream.ErrBroken, 3, 502, outcome.MayHaveRun},
	} {
		engines := map[string]*fakeEngine{}
		for _, n := range []string{"e1", "e2", "e3", "e4"} {
			engines[n] = newEngine(3)
			engines[n].refuse = tc.failure
		}
		r := newHarness(t, &fakeDeps{engines: engines, then: rules.Then{Retry: tc.retry}})
		response := r.post(t, path, plainBody)
		require.Equal(t, tc.status, response.StatusCode, tc)
		require.Equal(t, string(tc.ran), response.Header.Get(outcome.Header))
		tried := 0
		for _, e := range engines {
			tried += len(e.seen())
		}
		require.Equal(t, tc.engines, tried, tc)
	}
}

// The deadline passes while the engine is silent. The caller must get an error at that
// moment which says that the request may have run.
func TestDeadline(t *testing.T) {
	engine := newEngine(3)
	engine.stallAt = 1
	r := newHarness(t, &fakeDeps{engines: map[string]*fakeEngine{"e1": engine}})
	short := strings.Replace(plainBody, ":50", ":3", 1) // admission lets it in
	response := r.post(t, path, short, "X-Request-Timeout-Ms", "300")
	require.Equal(t, 504, response.StatusCode)
	require.Equal(t, string(outcome.MayHaveRun), response.Header.Get(outcome.Header))
	require.Equal(t, engine.seen()[0].AttemptID, <-engine.cancelled)
}
