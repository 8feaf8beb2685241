package httpx_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/listclient"
	"tamarackchute/internal/adapters/logclient"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/adapters/weightclient"
	"tamarackchute/upstream"
)

// response is what the peer answers to the n-th request, which counts from 1.
type response struct {
	status int
	header string
	body   string
}

// stutteringPeer answers each request once more before the response to the next one, if
// that comes on the same connection.
type stutteringPeer struct {
	respond func(n int) response
	// echoes reports whether a header of the request is repeated in the response.
	echoes   func(name string) bool
	requests atomic.Int32
	conns    atomic.Int32
}

func (p *stutteringPeer) listen(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go p.serve(c)
		}
	}()
	return ln.Addr().String()
}

func (p *stutteringPeer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var previous []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		own := p.encode(r, int(p.requests.Add(1)))
		if _, err := c.Write(append(bytes.Clone(previous), own...)); err != nil {
			return
		}
		previous = own
	}
}

func (p *stutteringPeer) encode(r *http.Request, n int) []byte {
	resp := p.respond(n)
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d X\r\n", resp.status)
	if resp.status != http.StatusNoContent {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(resp.body))
	}
	for name := range r.Header {
		if p.echoes(name) {
			fmt.Fprintf(&out, "%s: %s\r\n", name, r.Header.Get(name))
		}
	}
	if resp.header != "" {
		out.WriteString(resp.header + "\r\n")
	}
	out.WriteString("\r\n" + resp.body)
	return out.Bytes()
}

func echoesIdentity(name string) bool { return strings.HasPrefix(name, "X-") }
func echoesAttempt(name string) bool  { return name == httpx.HeaderAttempt }
func echoesNothing(string) bool       { return false }

// body returns responses with a body that has the number of the request in it.
func body(format string) func(n int) response {
	return func(n int) response {
		return response{status: http.StatusOK, body: strings.ReplaceAll(format, "#", fmt.Sprint(n))}
	}
}

// statuses returns responses with a status each.
func statuses(status ...int) func(n int) response {
	return func(n int) response { return response{status: status[min(n, len(status))-1]} }
}

func readReply(n int) response {
	doc, err := msgpack.Marshal(&logclient.ReadReply{Next: uint64(n)})
	if err != nil {
		panic(err)
	}
	return response{status: http.StatusOK, body: string(doc)}
}

func generation(n int) upstream.GenerateRequest {
	return upstream.GenerateRequest{AttemptID: fmt.Sprintf("attempt-%d", n), Model: "m", Prompt: "p", MaxTokens: 1}
}

// firstToken reads a stream of one token to its end.
func firstToken(ctx context.Context, s upstream.TokenStream, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer func() { _ = s.Close() }()
	token, err := s.Next(ctx)
	return token.Text, err
}

// errorText returns the error of a call as its result, for calls whose response is a status.
func errorText(err error) (string, error) {
	if err == nil {
		return "accepted", nil
	}
	return err.Error(), nil
}

// call is a kind of call; its result must be that of the second response.
type call struct {
	respond func(n int) response
	want    string
	do      func(ctx context.Context, n int) (string, error)
}

// calls returns a call of each kind to an address.
func calls(addr string, o httpx.Options) map[string]call {
	engine := engineclient.New(addr, o)
	service := serviceclient.New(addr, o)
	log := logclient.New(addr, o)
	list := listclient.New(addr, o)
	weights := weightclient.New(addr, o)
	plain := httpx.New(addr, o)
	tokens := body(`{"i":0,"t":"text-#","f":"stop"}` + "\n")
	return map[string]call{
		"prefill": {body(`{"engine":"e","id":"kv-#"}`), "kv-2", func(ctx context.Context, n int) (string, error) {
			kv, err := engine.Prefill(ctx, generation(n))
			return kv.ID, err
		}},
		"generate": {tokens, "text-2", func(ctx context.Context, n int) (string, error) {
			s, err := engine.Generate(ctx, generation(n))
			return firstToken(ctx, s, err)
		}},
		"resume after generate of the same attempt": {tokens, "text-2", func(ctx context.Context, n int) (string, error) {
			if n == 1 {
				s, err := engine.Generate(ctx, generation(1))
				return firstToken(ctx, s, err)
			}
			s, err := engine.Resume(ctx, generation(1).AttemptID, 0)
			return firstToken(ctx, s, err)
		}},
		"cancel": {statuses(204, 500), "status 500: ", func(ctx context.Context, n int) (string, error) {
			return errorText(engine.Cancel(ctx, generation(n).AttemptID))
		}},
		"order": {statuses(202, 412), upstream.ErrFenced.Error() + ": ", func(ctx context.Context, n int) (string, error) {
			return errorText(engine.Order(ctx, upstream.Order{ID: fmt.Sprint(n)}))
		}},
		"state": {body(`{"last_order":"order-#"}`), "order-2", func(ctx context.Context, _ int) (string, error) {
			state, err := engine.State(ctx)
			return state.LastOrder, err
		}},
		"load report": {body(`{"running":#}`), "2", func(ctx context.Context, _ int) (string, error) {
			load, err := engine.Load(ctx)
			return fmt.Sprint(load.Running), err
		}},
		"cache events": {body(`{"events":[{"seq":#}]}`), "2", func(ctx context.Context, n int) (string, error) {
			events, err := engine.CacheEvents(ctx, uint64(n))
			if err != nil {
				return "", err
			}
			return fmt.Sprint(events[0].Seq), nil
		}},
		"service call": {body("answer #"), "answer 2", func(ctx context.Context, n int) (string, error) {
			r, err := service.Call(ctx, upstream.ServiceRequest{AttemptID: fmt.Sprint(n), Method: "POST", Path: "/"})
			return string(r.Body), err
		}},
		"append": {func(n int) response {
			return response{status: http.StatusOK, header: fmt.Sprintf("%s: %d", logclient.HeaderOffset, n)}
		}, "2", func(ctx context.Context, n int) (string, error) {
			offset, err := log.Append(ctx, fmt.Append(nil, n))
			return fmt.Sprint(uint64(offset)), err
		}},
		"read": {readReply, "2", func(ctx context.Context, n int) (string, error) {
			r, err := log.Read(ctx, 1, n, 0)
			return fmt.Sprint(uint64(r.Next)), err
		}},
		"instances": {body(`{"instances":[{"name":"i-#"}]}`), "i-2", func(ctx context.Context, _ int) (string, error) {
			rows, err := list.Instances(ctx)
			if err != nil {
				return "", err
			}
			return rows[0].Name, nil
		}},
		"weight versions": {body(`{"versions":[{"version":"v-#"}]}`), "v-2", func(ctx context.Context, n int) (string, error) {
			versions, err := weights.Versions(ctx, fmt.Sprint(n))
			if err != nil {
				return "", err
			}
			return versions[0].Version, nil
		}},
		"export of KV cache": {body(`{"id":"kv-#"}`), "kv-2", func(ctx context.Context, n int) (string, error) {
			kv, err := httpx.GetJSON[upstream.KVHandle](ctx, plain, engineclient.PathKV+fmt.Sprint(n))
			return kv.ID, err
		}},
	}
}

// Guards against a call that takes the response to another request: a peer answers a
// request twice, the second time on a kept connection after the next request was sent.
func TestLateResponseIsNotTakenForAnother(t *testing.T) {
	peers := map[string]struct {
		echoes func(string) bool
		// conns is the number of connections that two calls may need.
		conns int32
	}{
		"peer echoes":               {echoesIdentity, 1},
		"peer echoes only attempts": {echoesAttempt, 2},
		"peer echoes nothing":       {echoesNothing, 2},
	}
	for peerName, p := range peers {
		for name := range calls("", httpx.Options{}) {
			if strings.Contains(name, "generate") && p.conns > 1 && !p.echoes(httpx.HeaderAttempt) {
				continue // streams are accepted only with the attempt's id
			}
			t.Run(name+", "+peerName, func(t *testing.T) {
				peer := &stutteringPeer{echoes: p.echoes}
				c := calls(peer.listen(t), httpx.Options{Timeout: 5 * time.Second})[name]
				peer.respond = c.respond
				_, err := c.do(t.Context(), 1)
				require.NoError(t, err)
				got, err := c.do(t.Context(), 2)
				require.NoError(t, err)
				assert.Equal(t, c.want, got)
				assert.LessOrEqual(t, peer.conns.Load(), p.conns)
			})
		}
	}
}
