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

// caller sends requests one after another or at once, as a person's or a
// machine's client does.
type caller struct {
	*Client
	dir *directory
}

// modelCall is one model request on its way to its end.
type modelCall struct {
	caller  *caller
	path    string
	body    []byte
	headers http.Header
	want    oracle.Completion
	due     time.Time
	res     Result
	gaps    []time.Duration
	// got counts the tokens received, lastID is the last one's event id.
	got    int
	lastID string
	last   time.Time
}

// maxAttempts bounds how often a caller sends one request.
const maxAttempts = 4

// model sends a model request and follows it to its end. A connection that
// breaks is taken up elsewhere: a stream from its last event, a plain request
// from the beginning.
func (c *caller) model(ctx context.Context, class Class, a Arrival, due time.Time) (Result, []time.Duration) {
	path, body, whole, err := modelRequest(c.Model, class.Kind, a)
	call := &modelCall{
		caller: c, path: path, body: body, due: due,
		headers: http.Header{
			"Content-Type":     {"application/json"},
			headerOrganisation: {organisation(a.Seed)},
		},
		want: oracle.Expected(c.Model, whole, a.Output),
		res:  Result{Arrival: a, Outcome: NotRun},
	}
	if err != nil {
		call.res.Detail = err.Error()
		return call.res, nil
	}
	call.run(ctx)
	call.res.Latency = time.Since(due)
	call.res.Late = call.res.Latency > class.Deadline
	call.res.Tokens = call.got
	return call.res, call.gaps
}

func (m *modelCall) run(ctx context.Context) {
	tried := map[string]bool{}
	for m.res.Attempts < maxAttempts {
		addr, ok := next(m.caller.dir.addresses(ctx), tried)
		if !ok || ctx.Err() != nil {
			return
		}
		tried[addr] = true
		if m.attempt(ctx, addr) {
			return
		}
	}
}

// next returns the first address not tried yet.
func next(addresses []string, tried map[string]bool) (string, bool) {
	for _, a := range addresses {
		if !tried[a] {
			return a, true
		}
	}
	return "", false
}

// codeGaveUp is the code of a request whose caller waited no longer.
const codeGaveUp = "caller_gave_up"

// attempt sends the request to one address and reports whether that ended it.
func (m *modelCall) attempt(ctx context.Context, addr string) bool {
	if m.lastID != "" {
		m.headers.Set(headerLastEventID, m.lastID)
	}
	resp, err := m.caller.send(ctx, http.MethodPost, addr, m.path, m.headers, m.body)
	if errors.Is(err, errNotConnected) {
		return false
	}
	m.res.Attempts++
	if m.lastID != "" {
		m.res.Resumed++
	}
	if err != nil {
		m.broken(ctx, addr, err)
		return false
	}
	m.res.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		body, _ := readAll(resp)
		refusal(&m.res, resp, body)
		if m.got > 0 {
			m.res.Outcome = Unknown // what was received did run
		}
		return true
	case m.res.Streamed:
		return m.stream(ctx, resp, addr)
	default:
		return m.plain(ctx, resp, addr)
	}
}

func (m *modelCall) broken(ctx context.Context, addr string, err error) {
	m.res.Outcome = Unknown
	m.res.Detail = err.Error()
	if ctx.Err() != nil {
		m.res.Code = codeGaveUp
		return
	}
	m.res.Broken = append(m.res.Broken, addr)
}

// chunk is a plain answer or a streamed part of one.
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

func (m *modelCall) plain(ctx context.Context, resp *http.Response, addr string) bool {
	body, err := readAll(resp)
	if err != nil {
		m.broken(ctx, addr, err)
		return false
	}
	m.res.FirstToken = time.Since(m.due)
	var c chunk
	if json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		m.wrong("no answer in the body")
		return true
	}
	choice := c.Choices[0]
	text := choice.Text + choice.Message.Content
	if text != m.want.Text(0, m.want.Tokens) || choice.FinishReason != m.want.Finish {
		m.wrong(fmt.Sprintf("%d bytes, finish %q, want %d tokens", len(text), choice.FinishReason, m.want.Tokens))
		return true
	}
	m.got = m.want.Tokens
	m.res.Outcome = Complete
	return true
}

func (m *modelCall) wrong(detail string) {
	m.res.Outcome = Wrong
	m.res.Detail = detail
}

// doneMark is the last event's data in a stream of the OpenAI interface.
const doneMark = "[DONE]"

func (m *modelCall) stream(ctx context.Context, resp *http.Response, addr string) bool {
	defer func() { _ = resp.Body.Close() }()
	events := newEventReader(resp.Body)
	finished := ""
	for {
		e, err := events.next()
		if err != nil {
			m.broken(ctx, addr, err)
			return false
		}
		if string(e.data) == doneMark {
			return m.end(finished)
		}
		if f, failed := isFailure(e.data); failed {
			m.res.Outcome, m.res.Code, m.res.Detail = Unknown, f.Error.Code, f.Error.Message
			if m.got == 0 && f.Error.Outcome == outcomeNotRun {
				m.res.Outcome = NotRun
			}
			return true
		}
		var c chunk
		if json.Unmarshal(e.data, &c) != nil {
			m.wrong("an event that is no JSON")
			return true
		}
		if len(c.Choices) == 0 {
			continue // the usage
		}
		finished = c.Choices[0].FinishReason
		if !m.token(e, c.Choices[0].Text+c.Choices[0].Delta.Content) {
			return true
		}
	}
}

// token takes in one token and reports whether it is the right one.
func (m *modelCall) token(e event, text string) bool {
	if text == "" {
		return true // a chunk that carries only a role or the finish reason
	}
	if m.got >= m.want.Tokens || text != m.want.Token(m.got) {
		m.wrong(fmt.Sprintf("token %d of %d is %q", m.got, m.want.Tokens, text))
		return false
	}
	now := time.Now()
	if m.got == 0 {
		m.res.FirstToken = now.Sub(m.due)
	} else {
		m.gaps = append(m.gaps, now.Sub(m.last))
	}
	m.last = now
	m.got++
	if e.id != "" {
		m.lastID = e.id
	}
	return true
}

// end judges a stream that said that it is done.
func (m *modelCall) end(finished string) bool {
	if m.got != m.want.Tokens || finished != m.want.Finish {
		m.wrong(fmt.Sprintf("ended after %d of %d tokens, finish %q", m.got, m.want.Tokens, finished))
		return true
	}
	m.res.Outcome = Complete
	return true
}
