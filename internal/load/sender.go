package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Headers of the callers' API.
const (
	headerOutcome        = "Chute-Outcome"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerOrganisation   = "OpenAI-Organization"
	headerRequestID      = "Chute-Request-Id"
)

// outcomeNotRun is the header's value for a request that certainly did not run.
const outcomeNotRun = "not-run"

// Client holds what all callers share.
type Client struct {
	HTTP *http.Client
	// Model is the model that the callers request.
	Model string
	// TimeoutFactor is the callers' timeout as a multiple of the deadline.
	TimeoutFactor float64
	// responses holds the request IDs of the responses so far.
	responses sync.Map
}

// NewClient returns a client that, unlike net/http's default, never retries a request by itself
// and follows no redirects.
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

// errNotConnected means that no connection was made, so that nothing of the request was sent.
var errNotConnected = errors.New("no connection")

// errForeignResponse means that the response belongs to an earlier request. It can be told
// by its request ID, which an instance gives to one request only.
var errForeignResponse = errors.New("response to another request")

// send sends one request to one address. The error matches errNotConnected if nothing was sent.
func (c *Client) send(ctx context.Context, method, addr, path string, headers http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "request can't be made")
	}
	// Without GetBody net/http can't retry a request with an idempotency key by itself.
	req.GetBody = nil
	for name, values := range headers {
		req.Header[name] = values
	}
	resp, err := c.HTTP.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, errNotConnected
	}
	if err != nil {
		return nil, err
	}
	if id := resp.Header.Get(headerRequestID); id != "" && c.repeated(id) {
		_ = resp.Body.Close()
		return nil, errForeignResponse
	}
	return resp, nil
}

// repeated records the request ID of a response and reports whether it was known.
func (c *Client) repeated(id string) bool {
	_, known := c.responses.LoadOrStore(id, struct{}{})
	return known
}

// errorResponse is the body of an error response or the data of an error event.
type errorResponse struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// parseError decodes an error and reports whether data holds one.
func parseError(data []byte) (errorResponse, bool) {
	var f errorResponse
	if err := json.Unmarshal(data, &f); err != nil || f.Error.Code == "" {
		return errorResponse{}, false
	}
	return f, true
}

// recordError sets a result from an error response.
func recordError(res *Result, resp *http.Response, body []byte) {
	res.Status = resp.StatusCode
	f, _ := parseError(body)
	res.Code, res.Detail = f.Error.Code, f.Error.Message
	res.Outcome = Unknown
	if resp.Header.Get(headerOutcome) == outcomeNotRun {
		res.Outcome = NotRun
	}
}

// maxResponseBytes bounds the bytes read of a plain response.
const maxResponseBytes = 16 << 20

func readAll(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
}
