package main

import (
	"bufio"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// plainTokens is the number of tokens of a plain completion.
const plainTokens = 8

// serveUpstream serves as an engine and a service at one address until the process
// ends.
func serveUpstream(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = fasthttp.Serve(ln, httpx.EchoExchange(handleUpstream)) }()
	return nil
}

func handleUpstream(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == engineclient.PathGenerate:
		handleGenerate(ctx)
	case path == engineclient.PathLoad:
		reply(ctx, upstream.LoadReport{
			At: time.Now(), Role: upstream.RoleMixed, InService: true, KVTotalTokens: 1 << 24,
			PrefillPerSecond: 1e6, DecodePerSecond: 1e6, MaxBatch: 1 << 14, Models: []string{"agronomy"},
		})
	case path == engineclient.PathCacheEvents:
		reply(ctx, engineclient.CacheEventsReply{})
	case strings.HasPrefix(path, engineclient.PathStreams):
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		ctx.SetBodyString(`{"booking":1}`)
	}
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs have a JSON form
	}
	ctx.SetBody(body)
}

// handleGenerate responds with as many tokens as requested. The prompt gives the gap
// between them in milliseconds; each token's text is its send time, from which the
// reader computes the latency.
func handleGenerate(ctx *fasthttp.RequestCtx) {
	var m engineclient.GenerateMessage
	if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	gap, _ := strconv.Atoi(strings.Fields(m.Prompt)[0])
	ctx.Response.Header.Set(httpx.HeaderAttempt, m.AttemptID)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := range m.MaxTokens {
			if gap > 0 {
				time.Sleep(time.Duration(gap) * time.Millisecond)
			}
			if writeToken(w, i, i == m.MaxTokens-1, gap > 0) != nil {
				return
			}
		}
	})
}

func writeToken(w *bufio.Writer, index int, last, flush bool) error {
	line := engineclient.TokenLine{Index: index, Text: strconv.FormatInt(time.Now().UnixNano(), 10), PromptTokens: 2}
	if last {
		line.Finish = "length"
	}
	text, err := json.Marshal(line)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(text, '\n')); err != nil {
		return err
	}
	if flush {
		return w.Flush()
	}
	return nil
}
