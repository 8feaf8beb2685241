package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tamarackchute/internal/standin/oracle"
)

// caller is one client of the deployment, with its own directory. Its requests may be
// concurrent.
type caller struct {
	*Client
	directory *directory
}

// modelCall is one model request in progress.
type modelCall struct {
	caller   *caller
	path     string
	body     []byte
	headers  http.Header
	expected oracle.Completion
	dueAt    time.Time
	result   Result
	gaps     []time.Duration
	// received counts the tokens received, lastEventID is the event id of the last one.
	received    int
	lastEventID string
	lastTokenAt time.Time
}

// maxAttempts bounds how often a caller sends one request.
const maxAttempts = 4

// sendModelRequest sends a model request and follows it to its end. After a broken connection it
// goes on at another address: a stream resumes after its last event, a plain request starts
// over.
func (c *caller) sendModelRequest(ctx context.Context, class Class, a Arrival, dueAt time.Time) (Result, []time.Duration) {
	path, body, fullPrompt, err := modelRequest(c.Model, class.Kind, a)
	call := &modelCall{
		caller: c, path: path, body: body, dueAt: dueAt,
		headers: http.Header{
			"Content-Type":     {"application/json"},
			headerOrganisation: {organisation(a.Seed)},
		},
		expected: oracle.Expected(c.Model, fullPrompt, a.Output),
		result:   Result{Arrival: a, Outcome: NotRun},
	}
	if err != nil {
		call.result.Detail = err.Error()
		return call.result, nil
	}
	call.run(ctx)
	call.result.Latency = time.Since(dueAt)
	call.result.Late = call.result.Latency > class.Deadline
	call.result.Tokens = call.received
	return call.result, call.gaps
}

func (m *modelCall) run(ctx context.Context) {
	tried := map[string]bool{}
	for m.result.Attempts < maxAttempts {
		addr, ok := firstUntried(m.caller.directory.addresses(ctx), tried)
		if !ok || ctx.Err() != nil {
			return
		}
		tried[addr] = true
		if m.attempt(ctx, addr) {
			return
		}
	}
}

// firstUntried returns the first address that hasn't been tried.
func firstUntried(addresses []string, tried map[string]bool) (string, bool) {
	for _, a := range addresses {
		if !tried[a] {
			return a, true
		}
	}
	return "", false
}

// codeCallerGaveUp is the code of a request whose caller timed out.
const codeCallerGaveUp = "caller_gave_up"

// attempt sends the request to one address and reports whether it is finished.
func (m *modelCall) attempt(ctx context.Context, addr string) bool {
	if m.lastEventID != "" {
		m.headers.Set(headerLastEventID, m.lastEventID)
	}
	resp, err := m.caller.send(ctx, http.MethodPost, addr, m.path, m.headers, m.body)
	if errors.Is(err, errNotConnected) {
		return false
	}
	m.result.Attempts++
	if m.lastEventID != "" {
		m.result.Resumed++
	}
	if errors.Is(err, errForeignResponse) {
		m.markWrong(err.Error())
		return true
	}
	if err != nil {
		m.connectionBroken(ctx, addr, err)
		return false
	}
	m.result.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		body, _ := readAll(resp)
		recordError(&m.result, resp, body)
		if m.received > 0 {
			m.result.Outcome = Unknown // the received tokens prove that it ran
		}
		return true
	case m.result.Streamed:
		return m.readStream(ctx, resp, addr)
	default:
		return m.readResponse(ctx, resp, addr)
	}
}

func (m *modelCall) connectionBroken(ctx context.Context, addr string, err error) {
	m.result.Outcome = Unknown
	m.result.Detail = err.Error()
	if ctx.Err() != nil {
		m.result.Code = codeCallerGaveUp
		return
	}
	m.result.BrokenAt = append(m.result.BrokenAt, addr)
}

// chunk is a plain response or one event of a stream.
type chunk struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (m *modelCall) readResponse(ctx context.Context, resp *http.Response, addr string) bool {
	body, err := readAll(resp)
	if err != nil {
		m.connectionBroken(ctx, addr, err)
		return false
	}
	m.result.FirstToken = time.Since(m.dueAt)
	var c chunk
	if json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		m.markWrong("no answer in the body")
		return true
	}
	choice := c.Choices[0]
	text := choice.Text + choice.Message.Content
	if text != m.expected.Text(0, m.expected.Tokens) || choice.FinishReason != m.expected.Finish {
		m.markWrong(fmt.Sprintf("%d bytes, finish %q, want %d tokens", len(text), choice.FinishReason, m.expected.Tokens))
		return true
	}
	m.received = m.expected.Tokens
	m.result.Outcome = Complete
	return true
}

func (m *modelCall) markWrong(detail string) {
	m.result.Outcome = Wrong
	m.result.Detail = detail
}

// doneData is the data of a stream's last event in the OpenAI API.
const doneData = "[DONE]"

func (m *modelCall) readStream(ctx context.Context, resp *http.Response, addr string) bool {
	defer func() { _ = resp.Body.Close() }()
	events := newEventReader(resp.Body)
	finishReason := ""
	for {
		e, err := events.next()
		if err != nil {
			m.connectionBroken(ctx, addr, err)
			return false
		}
		if string(e.data) == doneData {
			return m.finish(finishReason)
		}
		if f, failed := parseError(e.data); failed {
			m.result.Outcome, m.result.Code, m.result.Detail = Unknown, f.Error.Code, f.Error.Message
			if m.received == 0 && f.Error.Outcome == outcomeNotRun {
				m.result.Outcome = NotRun
			}
			return true
		}
		var c chunk
		if json.Unmarshal(e.data, &c) != nil {
			m.markWrong("an event that is no JSON")
			return true
		}
		if len(c.Choices) == 0 {
			continue // a usage event
		}
		finishReason = c.Choices[0].FinishReason
		if !m.acceptToken(e, c.Choices[0].Text+c.Choices[0].Delta.Content) {
			return true
		}
	}
}

// acceptToken records a token and reports whether it is the expected one.
func (m *modelCall) acceptToken(e event, text string) bool {
	if text == "" {
		return true // a chunk that carries only a role or the finish reason
	}
	if m.received >= m.expected.Tokens || text != m.expected.Token(m.received) {
		m.markWrong(fmt.Sprintf("token %d of %d is %q", m.received, m.expected.Tokens, text))
		return false
	}
	now := time.Now()
	if m.received == 0 {
		m.result.FirstToken = now.Sub(m.dueAt)
	} else {
		m.gaps = append(m.gaps, now.Sub(m.lastTokenAt))
	}
	m.lastTokenAt = now
	m.received++
	if e.id != "" {
		m.lastEventID = e.id
	}
	return true
}

// finish checks a stream that has sent its last event.
func (m *modelCall) finish(finishReason string) bool {
	if m.received != m.expected.Tokens || finishReason != m.expected.Finish {
		m.markWrong(fmt.Sprintf("ended after %d of %d tokens, finish %q", m.received, m.expected.Tokens, finishReason))
		return true
	}
	m.result.Outcome = Complete
	return true
}
