package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Headers of the callers' interface.
const (
	headerOutcome        = "Chute-Outcome"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerOrganisation   = "OpenAI-Organization"
)

// outcomeNotRun is the system's word for a request that certainly did not run.
const outcomeNotRun = "not-run"

// Client is what all callers share: connections, and what the run looks like.
type Client struct {
	HTTP *http.Client
	// Model is the model that the callers ask for.
	Model string
	// Patience is how long a caller waits for an answer, in deadlines.
	TimeoutFactor float64
}

// NewClient returns a client that, unlike the library's own, sends a request
// never twice by itself, and follows no redirect.
func NewClient(model string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     5 * time.Second,
		DisableCompression:  true,
	}
	return &Client{
		HTTP:          &http.Client{Transport: transport, CheckRedirect: noRedirect},
		Model:         model,
		TimeoutFactor: 2,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// errNotConnected says that no connection could be made, so that nothing of
// the request was sent.
var errNotConnected = errors.New("no connection")

// send sends one request to one address. The error matches errNotConnected if
// nothing was sent.
func (c *Client) send(ctx context.Context, method, addr, path string, headers http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "request can't be made")
	}
	// Without GetBody the library can't send a keyed request again by itself.
	req.GetBody = nil
	for name, values := range headers {
		req.Header[name] = values
	}
	resp, err := c.HTTP.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, errNotConnected
	}
	return resp, err
}

// failure is the body of a refusal or an error event.
type failure struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// isFailure reports whether the data hold an error, and returns it.
func isFailure(data []byte) (failure, bool) {
	var f failure
	if err := json.Unmarshal(data, &f); err != nil || f.Error.Code == "" {
		return failure{}, false
	}
	return f, true
}

// refusal sets a result from an answer that is no success.
func refusal(res *Result, resp *http.Response, body []byte) {
	res.Status = resp.StatusCode
	f, _ := isFailure(body)
	res.Code, res.Detail = f.Error.Code, f.Error.Message
	res.Outcome = Unknown
	if resp.Header.Get(headerOutcome) == outcomeNotRun {
		res.Outcome = NotRun
	}
}

// maxAnswer bounds what is read of a plain answer.
const maxAnswer = 16 << 20

func readAll(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
}
