package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackchute/internal/adapters/engineclient"
)

// tokenGap is the time between two tokens of a measured stream, openGap that of a
// stream that is only kept open.
const (
	tokenGap = 20 * time.Millisecond
	openGap  = time.Second
)

// tokenLatencies records the latencies of tokens.
type tokenLatencies struct {
	mu     sync.Mutex
	times  *hdrhistogram.Histogram
	broken atomic.Int64
}

func newTokenLatencies() *tokenLatencies { return &tokenLatencies{times: newHistogram()} }

func (t *tokenLatencies) add(sentAt string) {
	ns, err := strconv.ParseInt(sentAt, 10, 64)
	if err != nil {
		t.broken.Add(1)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.times.RecordValue(max(1, (time.Now().UnixNano()-ns)/1000))
}

// measureTokens reads streams directly and through the entry concurrently.
func measureTokens(o options, p process, t addresses) error {
	tokens := int(o.length / tokenGap)
	direct, viaEntry := newTokenLatencies(), newTokenLatencies()
	before, err := p.cpu()
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	for i := range o.streams {
		// Spread the starts over one gap to avoid bursts of tokens.
		delay := time.Duration(i) * tokenGap / time.Duration(o.streams)
		wg.Go(func() { time.Sleep(delay); readEngine(t.engine, tokens, direct) })
		wg.Go(func() { time.Sleep(delay); readEvents(t.entry, tokens, tokenGap, viaEntry, nil) })
	}
	wg.Wait()
	after, err := p.cpu()
	if err != nil {
		return err
	}
	if n := direct.broken.Load() + viaEntry.broken.Load(); n > 0 {
		return eris.Errorf("token: %d streams broke", n)
	}
	a, b := direct.times, viaEntry.times
	fmt.Printf("%-22s straight p50 %d µs p99 %d µs, through p50 %d µs p99 %d µs, added p50 %d µs p99 %d µs, %.1f µs of processor time a token, n %d\n",
		"token", a.ValueAtQuantile(50), a.ValueAtQuantile(99), b.ValueAtQuantile(50), b.ValueAtQuantile(99),
		b.ValueAtQuantile(50)-a.ValueAtQuantile(50), b.ValueAtQuantile(99)-a.ValueAtQuantile(99),
		float64((after-before).Nanoseconds())/1e3/float64(b.TotalCount()), b.TotalCount())
	return nil
}

// measureOpen keeps streams open and measures the entry's memory.
func measureOpen(o options, p process, t addresses) error {
	times := newTokenLatencies()
	started := make(chan struct{}, o.open)
	tokens := int(o.length/openGap) + 2
	var wg conc.WaitGroup
	for range o.open {
		wg.Go(func() { readEvents(t.entry, tokens, openGap, times, started) })
	}
	for range o.open {
		<-started
	}
	time.Sleep(o.length / 2)
	resident, err := p.memory()
	if err != nil {
		return err
	}
	fmt.Printf("%-22s resident %.1f MiB with %d open streams\n", "open streams", mib(resident), o.open)
	wg.Wait()
	if n := times.broken.Load(); n > 0 {
		return eris.Errorf("open streams: %d broke", n)
	}
	return nil
}

// dialAndSend sends one raw HTTP request and returns a reader of the response.
func dialAndSend(address, path, body string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", path, address, len(body), body)
	return conn, bufio.NewReader(conn), err
}

// readEngine reads a stream in the engine's line format.
func readEngine(address string, tokens int, times *tokenLatencies) {
	body, err := json.Marshal(engineclient.GenerateMessage{
		AttemptID: "bench", Model: "agronomy", Prompt: gapPrompt(tokenGap), MaxTokens: tokens,
	})
	if err != nil {
		panic(err) // a plain struct has a JSON form
	}
	conn, lines, err := dialAndSend(address, engineclient.PathGenerate, string(body))
	if err != nil {
		times.broken.Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	readTokens(lines, `{"i":`, `"t":"`, tokens, times, nil)
}

// readEvents reads a stream of server-sent events from the entry.
func readEvents(address string, tokens int, gap time.Duration, times *tokenLatencies, started chan<- struct{}) {
	body := fmt.Sprintf(`{"model":"agronomy","prompt":%q,"max_tokens":%d,"stream":true}`, gapPrompt(gap), tokens)
	conn, lines, err := dialAndSend(address, "/v1/completions", body)
	if err != nil {
		times.broken.Add(1)
		signal(started)
		return
	}
	defer func() { _ = conn.Close() }()
	readTokens(lines, "data: {", `"text":"`, tokens, times, started)
}

func signal(started chan<- struct{}) {
	if started != nil {
		started <- struct{}{}
	}
}

func gapPrompt(gap time.Duration) string {
	return strconv.FormatInt(gap.Milliseconds(), 10) + " x"
}

// readTokens reads the lines that start with a prefix as tokens, whose text follows a
// marker.
func readTokens(lines *bufio.Reader, prefix, marker string, tokens int, times *tokenLatencies, started chan<- struct{}) {
	for count := 0; count < tokens; {
		line, err := lines.ReadString('\n')
		if err != nil {
			times.broken.Add(1)
			if count == 0 {
				signal(started)
			}
			return
		}
		if !strings.HasPrefix(line, prefix) {
			continue
		}
		_, text, _ := strings.Cut(line, marker)
		text, _, _ = strings.Cut(text, `"`)
		times.add(text)
		if count == 0 {
			signal(started)
		}
		count++
	}
}
