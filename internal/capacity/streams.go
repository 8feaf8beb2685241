package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"tamarackchute/internal/standin/oracle"
)

// Streams sends streamed requests to one entry and measures its process.
type Streams struct {
	// Entry is the entry's address for callers, PID its process.
	Entry string
	PID   int
	Model string
}

// streamBody is a completion request.
type streamBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

const promptWords = 50

// promptFor returns a prompt whose answer the stand-ins don't end early.
func (s Streams) promptFor(tokens int) string {
	for i := 0; ; i++ {
		prompt := fmt.Sprintf("question %d%s", i, strings.Repeat(" word", promptWords))
		if oracle.For(s.Model, prompt, tokens).Tokens == tokens {
			return prompt
		}
	}
}

// PerToken sends requests with answers of so many tokens, some at a time, and
// returns the entry's processor time of one request.
func (s Streams) PerToken(ctx context.Context, requests, tokens, atOnce int) (Sample, error) {
	client := newStreamClient()
	defer client.CloseIdleConnections()
	before, err := UsageOf(s.PID)
	if err != nil {
		return Sample{}, err
	}
	p := pool.New().WithMaxGoroutines(atOnce).WithErrors().WithFirstError()
	for range requests {
		p.Go(func() error { return s.read(ctx, client, tokens, nil) })
	}
	if err := p.Wait(); err != nil {
		return Sample{}, err
	}
	after, err := UsageOf(s.PID)
	value := float64(after.CPU-before.CPU) / float64(requests)
	return Sample{Role: roleEntry, Series: "tokens", Size: tokens, Unit: Nanos, Value: value}, err
}

// Held holds so many streams open and returns the entry's memory, and its
// processor time and traffic a second, of each window.
func (s Streams) Held(ctx context.Context, streams, windows int, window time.Duration) ([]Sample, error) {
	ctx, hangUp := context.WithCancel(ctx)
	client := newStreamClient()
	defer client.CloseIdleConnections()
	begun := make(chan struct{}, streams)
	failed := make(chan error, streams)
	p := pool.New()
	defer p.Wait()
	defer hangUp()
	for range streams {
		p.Go(func() {
			if err := s.read(ctx, client, heldTokens, begun); err != nil {
				failed <- err
			}
		})
	}
	for range streams {
		select {
		case <-begun:
		case err := <-failed:
			return nil, eris.Wrap(err, "a stream didn't begin")
		}
	}
	return s.windows(streams, windows, window)
}

// heldTokens is more than a measurement lasts at two tokens a second, and few
// enough to be promised by the usual deadline.
const heldTokens = 150

func (s Streams) windows(size, windows int, window time.Duration) ([]Sample, error) {
	before, err := UsageOf(s.PID)
	if err != nil {
		return nil, err
	}
	var all []Sample
	for range windows {
		time.Sleep(window)
		after, err := UsageOf(s.PID)
		if err != nil {
			return nil, err
		}
		seconds := after.At.Sub(before.At).Seconds()
		for unit, v := range map[Unit]float64{
			Bytes:    float64(after.Resident),
			NanosSec: float64(after.CPU-before.CPU) / seconds,
			BytesSec: float64(after.Bytes-before.Bytes) / seconds,
		} {
			all = append(all, Sample{Role: roleEntry, Series: "streams", Size: size, Unit: unit, Value: v})
		}
		before = after
	}
	return all, nil
}

func newStreamClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
}

// read reads one stream to its end, and says so when its first token has come.
func (s Streams) read(ctx context.Context, client *http.Client, tokens int, begun chan<- struct{}) error {
	body, err := json.Marshal(streamBody{
		Model: s.Model, Prompt: s.promptFor(tokens), MaxTokens: tokens, Stream: true,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("the entry answers %d", resp.StatusCode)
	}
	return readEvents(resp, tokens, begun)
}

// readEvents counts the events with text and checks that all came.
func readEvents(resp *http.Response, tokens int, begun chan<- struct{}) error {
	lines := bufio.NewScanner(resp.Body)
	got := 0
	for lines.Scan() {
		if !strings.Contains(lines.Text(), `"text":"`) {
			continue
		}
		got++
		if got == 1 && begun != nil {
			begun <- struct{}{}
		}
	}
	if got < tokens {
		return eris.Errorf("the stream broke off after %d of %d tokens", got, tokens)
	}
	return lines.Err()
}
