package standin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/logclient"
)

var update = flag.Bool("update", false, "rewrite the golden files of sessions")

// recorder records the bytes of a session as alternating requests and responses. Requests
// must not be concurrent, but may use several connections.
type recorder struct {
	mu        sync.Mutex
	exchanges []exchange
}

type exchange struct {
	sent  bool
	bytes []byte
}

func (r *recorder) record(sent bool, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.exchanges); n > 0 && r.exchanges[n-1].sent == sent {
		r.exchanges[n-1].bytes = append(r.exchanges[n-1].bytes, b...)
		return
	}
	r.exchanges = append(r.exchanges, exchange{sent, bytes.Clone(b)})
}

func (r *recorder) options() httpx.Options {
	return httpx.Options{Sender: "entry-1", Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		return &recordedConn{Conn: c, recorder: r}, err
	}}
}

type recordedConn struct {
	net.Conn
	recorder *recorder
}

func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recorder.record(false, p[:n])
	}
	return n, err
}

func (c *recordedConn) Write(p []byte) (int, error) {
	c.recorder.record(true, p)
	return c.Conn.Write(p)
}

// volatile lists the values that differ between runs.
var volatile = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<address>"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "<uuid>"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+(Z|[+-]\d\d:\d\d)`), "<time>"},
	{regexp.MustCompile(`"age_ms":\d+`), `"age_ms":<age>`},
}

// text formats the session as lines: requests start with ">", responses with "<", and "<
// closed" stands for a connection closed without a response.
func (r *recorder) text(t *testing.T) string {
	var b strings.Builder
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, part := range r.exchanges {
		in := bufio.NewReader(bytes.NewReader(part.bytes))
		if !part.sent {
			resp, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			writeMessage(t, &b, "<", fmt.Sprint(resp.StatusCode), resp.Header, resp.Body)
			continue
		}
		if i > 0 && r.exchanges[i-1].sent {
			b.WriteString("< closed\n")
		}
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				break
			}
			writeMessage(t, &b, ">", req.Method+" "+req.RequestURI, req.Header, req.Body)
			if _, err := in.Peek(1); err == nil {
				b.WriteString("< closed\n")
			}
		}
	}
	if n := len(r.exchanges); n > 0 && r.exchanges[n-1].sent {
		b.WriteString("< closed\n")
	}
	out := numberExchanges(b.String())
	for _, v := range volatile {
		out = v.pattern.ReplaceAllString(out, v.replacement)
	}
	return out
}

var exchangeID = regexp.MustCompile(`(?m)^([<>] ` + httpx.HeaderExchange + `: )(.*)$`)

// numberExchanges replaces the exchanges' IDs, which differ between runs, by numbers in the
// order of their first appearance.
func numberExchanges(session string) string {
	numbers := map[string]int{}
	return exchangeID.ReplaceAllStringFunc(session, func(line string) string {
		m := exchangeID.FindStringSubmatch(line)
		if numbers[m[2]] == 0 {
			numbers[m[2]] = len(numbers) + 1
		}
		return fmt.Sprintf("%s<exchange %d>", m[1], numbers[m[2]])
	})
}

func writeMessage(t *testing.T, b *strings.Builder, mark, first string, h http.Header, body io.Reader) {
	fmt.Fprintln(b, mark, first)
	var names []string
	for name := range h {
		if strings.HasPrefix(name, "X-") || name == "Idempotency-Key" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(b, "%s %s: %s\n", mark, name, h.Get(name))
	}
	data, err := io.ReadAll(body)
	if err != nil {
		data = append(data, "(broken off)"...)
	}
	if h.Get("Content-Type") == "application/msgpack" {
		var reply logclient.ReadReply
		require.NoError(t, msgpack.Unmarshal(data, &reply))
		for i := range reply.Records {
			reply.Records[i].At = 0
		}
		data, _ = json.Marshal(reply)
	}
	for line := range strings.Lines(string(data)) {
		fmt.Fprintf(b, "%s   %s\n", mark, strings.TrimRight(line, "\n"))
	}
}

// golden compares the session with its golden file.
func (r *recorder) golden(t *testing.T, name string) {
	t.Helper()
	path := filepath.Join("testdata", name+".session")
	got := r.text(t)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
