package engineclient_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/standin/oracle"
	"tamarackchute/internal/standin/standintest"
	"tamarackchute/upstream"
)

const model = standintest.Model

var prompt = strings.Repeat("how much lime does a field of clay want in spring ", 8)

func request(id string) upstream.GenerateRequest {
	return upstream.GenerateRequest{AttemptID: id, Model: model, Prompt: prompt, MaxTokens: 40}
}

func client(t *testing.T, e *standin.Engine) *engineclient.Client {
	c := engineclient.New(e.Addr(), httpx.Options{Sender: "entry-1", Timeout: 500 * time.Millisecond})
	t.Cleanup(c.Close)
	return c
}

// collect reads a stream to its end and checks the order of its tokens.
func collect(t *testing.T, s upstream.TokenStream, from int) (string, upstream.Token, error) {
	t.Helper()
	var text strings.Builder
	var last upstream.Token
	for i := from; ; i++ {
		tok, err := s.Next(t.Context())
		if errors.Is(err, io.EOF) {
			return text.String(), last, nil
		}
		if err != nil {
			return text.String(), last, err
		}
		require.Equal(t, i, tok.Index)
		text.WriteString(tok.Text)
		last = tok
	}
}

func TestGenerate(t *testing.T) {
	e := standintest.Engine(t, standin.EngineConfig{})
	c := client(t, e)
	want := oracle.Expected(model, prompt, 40)
	for i, id := range []string{"a", "b"} {
		s, err := c.Generate(t.Context(), request(id))
		require.NoError(t, err)
		first, err := s.Next(t.Context())
		require.NoError(t, err)
		assert.Equal(t, oracle.PromptTokens(prompt), first.PromptTokens)
		if i == 1 {
			assert.Equal(t, 80, first.CachedTokens)
		}
		text, last, err := collect(t, s, 1)
		require.NoError(t, err)
		assert.Equal(t, want.Text(0, want.Tokens), first.Text+text)
		assert.Equal(t, want.Finish, last.Finish)
		require.NoError(t, s.Close())
	}
	assert.Zero(t, e.Counters().Cancelled)
}

func TestGenerateUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults string
		change func(*upstream.GenerateRequest)
		want   error
	}{
		{"refuses", `{"refuse":{"next":1}}`, nil, upstream.ErrRefused},
		{"model not loaded", `{}`, func(r *upstream.GenerateRequest) { r.Model = "other" }, upstream.ErrRefused},
		{"closes without answering", `{"close_generate":{"next":1}}`, nil, upstream.ErrBroken},
		{"answers another attempt", `{"cross_answers":{"next":1}}`, nil, upstream.ErrBroken},
		{"breaks off halfway", `{"break_stream":{"next":1},"break_at":5}`, nil, upstream.ErrBroken},
		{"crashes on the prompt", `{"poison":"lime"}`, nil, upstream.ErrBroken},
		{"is down", `{"crash":{"down_ms":-1}}`, nil, upstream.ErrNotSent},
		{"is frozen", `{"freeze":true}`, nil, context.DeadlineExceeded},
		{"partitioned", `{"blocked":["entry-1"]}`, nil, context.DeadlineExceeded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := standintest.Engine(t, standin.EngineConfig{})
			standintest.SetFaults(t, e, tc.faults)
			r := request("a")
			if tc.change != nil {
				tc.change(&r)
			}
			s, err := client(t, e).Generate(t.Context(), r)
			if err == nil {
				_, _, err = collect(t, s, 0)
				_ = s.Close()
			}
			require.ErrorIs(t, err, tc.want)
		})
	}
}

// Guards against gaps and duplicates in a response when an engine fails and another one
// continues it from the prompt and the tokens sent so far.
func TestResponseContinuesOnAnotherEngine(t *testing.T) {
	first, second := standintest.Engine(t, standin.EngineConfig{}), standintest.Engine(t, standin.EngineConfig{})
	standintest.SetFaults(t, first, `{"break_stream":{"next":1},"break_at":7}`)
	s, err := client(t, first).Generate(t.Context(), request("a"))
	require.NoError(t, err)
	head, _, err := collect(t, s, 0)
	require.ErrorIs(t, err, upstream.ErrBroken)
	require.NoError(t, s.Close())

	r := request("b")
	r.Prior, r.PriorTokens = head, 7
	s, err = client(t, second).Generate(t.Context(), r)
	require.NoError(t, err)
	tail, last, err := collect(t, s, 7)
	require.NoError(t, err)
	want := oracle.Expected(model, prompt, 40)
	assert.Equal(t, want.Text(0, want.Tokens), head+tail)
	assert.Equal(t, want.Finish, last.Finish)
	assert.Zero(t, second.Counters().WrongPrior)
}

func TestResume(t *testing.T) {
	e := standintest.Engine(t, standin.EngineConfig{})
	c := client(t, e)
	standintest.SetFaults(t, e, `{"break_stream":{"next":1},"break_at":4}`)
	s, err := c.Generate(t.Context(), request("a"))
	require.NoError(t, err)
	head, _, err := collect(t, s, 0)
	require.ErrorIs(t, err, upstream.ErrBroken)
	s, err = c.Resume(t.Context(), "a", 4)
	require.NoError(t, err)
	tail, _, err := collect(t, s, 4)
	require.NoError(t, err)
	assert.Equal(t, oracle.Expected(model, prompt, 40).Text(0, oracle.Length(prompt, 40)), head+tail)

	_, err = c.Resume(t.Context(), "unknown", 0)
	require.ErrorIs(t, err, upstream.ErrGone)
}

// Guards against an engine that keeps working for a caller that has disconnected, which
// delays the responses to others.
func TestCloseCancelsGeneration(t *testing.T) {
	e := standintest.Engine(t, standin.EngineConfig{})
	standintest.SetFaults(t, e, `{"slow_factor":50}`)
	c := client(t, e)
	s, err := c.Generate(t.Context(), request("a"))
	require.NoError(t, err)
	failed := make(chan error, 1)
	go func() {
		for {
			if _, err := s.Next(context.Background()); err != nil {
				failed <- err
				return
			}
		}
	}()
	require.NoError(t, s.Close())
	require.Error(t, <-failed)
	c.Close() // waits for the cancel request
	assert.EqualValues(t, 1, e.Counters().Cancelled)
	assert.Zero(t, e.State().Running)
	require.NoError(t, c.Cancel(t.Context(), "a"), "a cancel is idempotent")
}

// Guards against unbounded buffering for a slow caller. Data that isn't read must stay at
// the engine, whose writes block once the socket buffers are full.
func TestSlowReaderAppliesBackpressure(t *testing.T) {
	const enough = 64 << 20 // bytes; far more than socket buffers hold
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	written := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"))
		line := fmt.Appendf(nil, "{\"i\":0,\"t\":%q}\n", strings.Repeat("x", 4000))
		chunk := append(fmt.Appendf(nil, "%x\r\n", len(line)), append(line, "\r\n"...)...)
		total := 0
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		for total < enough {
			n, err := conn.Write(chunk)
			total += n
			if err != nil {
				break
			}
		}
		written <- total
	}()
	c := engineclient.New(ln.Addr().String(), httpx.Options{})
	s, err := c.Generate(t.Context(), request("a"))
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	_, err = s.Next(t.Context())
	require.NoError(t, err)
	assert.Less(t, <-written, enough)
}

func TestPrefillAndHandoff(t *testing.T) {
	for name, tc := range map[string]struct {
		faults  string
		imports int64
	}{
		"cache arrives":   {`{}`, 1},
		"cache is denied": {`{"fail_exports":{"next":1}}`, 0},
	} {
		t.Run(name, func(t *testing.T) {
			prefill := standintest.Engine(t, standin.EngineConfig{Role: upstream.RolePrefill})
			decode := standintest.Engine(t, standin.EngineConfig{Role: upstream.RoleDecode})
			standintest.SetFaults(t, prefill, tc.faults)
			kv, err := client(t, prefill).Prefill(t.Context(), request("p"))
			require.NoError(t, err)
			assert.Equal(t, prefill.Addr(), kv.Engine)
			assert.Equal(t, oracle.PromptTokens(prompt), kv.Tokens)
			assert.Positive(t, kv.Bytes)

			r := request("d")
			r.KV = &kv
			s, err := client(t, decode).Generate(t.Context(), r)
			require.NoError(t, err)
			text, _, err := collect(t, s, 0)
			require.NoError(t, err)
			assert.Equal(t, oracle.Expected(model, prompt, 40).Text(0, oracle.Length(prompt, 40)), text)
			assert.Equal(t, tc.imports, decode.Counters().KVImports)
			if tc.imports > 0 {
				assert.EqualValues(t, 1, decode.Counters().PrefilledTokens)
			}
		})
	}
}

// Guards against a request that goes on from another prompt's KV cache unnoticed.
func TestImportOfAnotherPromptIsCounted(t *testing.T) {
	for name, tc := range map[string]struct {
		prompt string
		want   int64
	}{
		"own":     {prompt, 0},
		"another": {prompt + "and in autumn", 1},
	} {
		t.Run(name, func(t *testing.T) {
			prefill := standintest.Engine(t, standin.EngineConfig{Role: upstream.RolePrefill})
			decode := standintest.Engine(t, standin.EngineConfig{Role: upstream.RoleDecode})
			r := request("p")
			r.Prompt = tc.prompt
			kv, err := client(t, prefill).Prefill(t.Context(), r)
			require.NoError(t, err)

			r = request("d")
			r.KV = &kv
			s, err := client(t, decode).Generate(t.Context(), r)
			require.NoError(t, err)
			_, _, err = collect(t, s, 0)
			require.NoError(t, err)
			assert.EqualValues(t, 1, decode.Counters().KVImports)
			assert.Equal(t, tc.want, decode.Counters().WrongKV)
		})
	}
}

// Guards against a request that goes on from the KV cache of another one: the engine
// answers a prefill with the handle of another attempt.
func TestPrefillAnsweredForAnotherAttempt(t *testing.T) {
	e := standintest.Engine(t, standin.EngineConfig{Role: upstream.RolePrefill})
	standintest.SetFaults(t, e, `{"cross_answers":{"next":1}}`)
	_, err := client(t, e).Prefill(t.Context(), request("p"))
	require.ErrorIs(t, err, upstream.ErrBroken)
	_, err = client(t, e).Prefill(t.Context(), request("q"))
	require.NoError(t, err)
}

func TestOrders(t *testing.T) {
	slow := standin.DefaultSpeed()
	slow.ChangeDuration = time.Hour
	role := func(id string, token uint64) upstream.Order {
		return upstream.Order{ID: id, Kind: upstream.OrderRole, Role: upstream.RoleDecode, FencingToken: token}
	}
	cases := []struct {
		name    string
		checks  bool
		faults  string
		orders  []upstream.Order
		want    error // of the last order
		counter func(standin.EngineCounters) int64
	}{
		{"taken", true, `{}`, []upstream.Order{role("1", 5)}, nil,
			func(c standin.EngineCounters) int64 { return c.Orders }},
		{"sent again", true, `{}`, []upstream.Order{role("1", 5), role("1", 5)}, nil,
			func(c standin.EngineCounters) int64 { return c.RepeatedOrders }},
		{"conflicts", true, `{}`, []upstream.Order{role("1", 5), role("2", 5)}, upstream.ErrBusy,
			func(c standin.EngineCounters) int64 { return c.ConflictingOrders }},
		{"outdated and checked", true, `{}`,
			[]upstream.Order{{Kind: upstream.OrderRaiseToken, FencingToken: 9}, role("1", 5)}, upstream.ErrFenced,
			func(c standin.EngineCounters) int64 { return c.FencedOrders }},
		{"outdated and not checked", false, `{}`,
			[]upstream.Order{{Kind: upstream.OrderRaiseToken, FencingToken: 9}, role("1", 5)}, nil,
			func(c standin.EngineCounters) int64 { return c.OutdatedOrdersAccepted }},
		{"reply lost", true, `{"lose_order_reply":{"next":1}}`, []upstream.Order{role("1", 5)}, upstream.ErrBroken,
			func(c standin.EngineCounters) int64 { return c.Orders }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := standintest.Engine(t, standin.EngineConfig{ChecksFencing: tc.checks, Speed: slow})
			standintest.SetFaults(t, e, tc.faults)
			c := client(t, e)
			var err error
			for _, o := range tc.orders {
				err = c.Order(t.Context(), o)
			}
			require.ErrorIs(t, err, tc.want)
			assert.EqualValues(t, 1, tc.counter(e.Counters()))
			st, err := c.State(t.Context())
			require.NoError(t, err)
			assert.Equal(t, tc.want != upstream.ErrFenced, st.Busy)
		})
	}
}

func TestLoadAndCacheEvents(t *testing.T) {
	speed := standin.DefaultSpeed()
	speed.Scale, speed.EventLag, speed.EventLoss = 20, 0, 0
	e := standintest.Engine(t, standin.EngineConfig{Speed: speed})
	c := client(t, e)
	s, err := c.Generate(t.Context(), request("a"))
	require.NoError(t, err)
	_, _, err = collect(t, s, 0)
	require.NoError(t, err)

	events, err := c.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	require.Len(t, events, 5)
	assert.True(t, events[0].Stored)
	rest, err := c.CacheEvents(t.Context(), events[2].Seq)
	require.NoError(t, err)
	assert.Equal(t, events[3:], rest)

	load, err := c.Load(t.Context())
	require.NoError(t, err)
	assert.Equal(t, []string{model}, load.Models)
	assert.Equal(t, speed.KVTokens, load.KVTotalTokens)
	standintest.SetFaults(t, e, `{"silent_load":true}`)
	_, err = c.Load(t.Context())
	require.Error(t, err)
}
