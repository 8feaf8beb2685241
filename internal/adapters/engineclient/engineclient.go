package engineclient

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// Client is the adapter for one engine; it implements upstream.Engine and
// upstream.Controlled.
type Client struct {
	http *httpx.Client
	// control has a separate connection pool, so that a pool full of streams
	// never delays an order or a cancel.
	control *httpx.Client
	cancels *canceller
}

var (
	_ upstream.Engine     = (*Client)(nil)
	_ upstream.Controlled = (*Client)(nil)
)

// New returns an adapter for the engine at an address.
func New(addr string, o httpx.Options) *Client {
	c := &Client{http: httpx.New(addr, o)}
	o.Gate = nil // an engine's limit is one on work
	c.control = httpx.New(addr, o)
	c.cancels = newCanceller(c)
	return c
}

// Close waits for cancels in progress and closes idle connections.
func (c *Client) Close() {
	c.cancels.wait()
	c.http.CloseIdle()
	c.control.CloseIdle()
}

// Generate implements upstream.Engine. It returns once the engine has accepted
// the request. The context applies only until then; the stream lasts until it is
// closed.
func (c *Client) Generate(ctx context.Context, r upstream.GenerateRequest) (upstream.TokenStream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := httpx.FillJSON(req, fasthttp.MethodPost, PathGenerate, generateMessage(r)); err != nil {
		return nil, err
	}
	return c.open(ctx, req, r.AttemptID)
}

// Resume implements upstream.Engine. The context applies as in Generate.
func (c *Client) Resume(ctx context.Context, attemptID string, from int) (upstream.TokenStream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI(streamPath(attemptID) + "?from=" + strconv.Itoa(from))
	return c.open(ctx, req, attemptID)
}

func (c *Client) open(ctx context.Context, req *fasthttp.Request, attemptID string) (upstream.TokenStream, error) {
	req.Header.Set(httpx.HeaderAttempt, attemptID)
	s, err := c.http.Stream(ctx, req)
	if err != nil {
		return nil, err
	}
	h := s.Header()
	status := h.StatusCode()
	if status != fasthttp.StatusOK {
		refused := httpx.Refused(h)
		detail := s.Drain(ctx, maxErrorBody)
		return nil, streamError(status, refused, string(detail))
	}
	if got := string(h.Peek(httpx.HeaderAttempt)); got != attemptID {
		_ = s.Close()
		return nil, httpx.Broken(fmt.Errorf("response is for attempt %q, wanted %q", got, attemptID))
	}
	return newStream(s, attemptID, c.cancels), nil
}

// maxErrorBody is how much of an error response's body is read, in bytes.
const maxErrorBody = 512

func streamError(status int, refused bool, detail string) error {
	if status == fasthttp.StatusNotFound || status == fasthttp.StatusGone {
		return fmt.Errorf("%w: %s", upstream.ErrGone, detail)
	}
	return &httpx.StatusError{Status: status, NotRun: refused, Detail: detail}
}

// Prefill implements upstream.Engine. A handle that is for another attempt is an error.
func (c *Client) Prefill(ctx context.Context, r upstream.GenerateRequest) (upstream.KVHandle, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := httpx.FillJSON(req, fasthttp.MethodPost, PathPrefill, generateMessage(r)); err != nil {
		return upstream.KVHandle{}, err
	}
	req.Header.Set(httpx.HeaderAttempt, r.AttemptID)
	handle, err := httpx.DoJSON[upstream.KVHandle](ctx, c.http, req, resp)
	if err == nil {
		err = httpx.CheckAttempt(&resp.Header, r.AttemptID)
	}
	if err != nil {
		return upstream.KVHandle{}, err
	}
	return handle, nil
}

// Cancel implements upstream.Engine.
func (c *Client) Cancel(ctx context.Context, attemptID string) error {
	_, err := httpx.CallJSON[httpx.NoBody, httpx.NoBody](
		ctx, c.control, fasthttp.MethodDelete, streamPath(attemptID), httpx.NoBody{})
	return err
}

// Load implements upstream.Engine.
func (c *Client) Load(ctx context.Context) (upstream.LoadReport, error) {
	return httpx.GetJSON[upstream.LoadReport](ctx, c.control, PathLoad)
}

// CacheEvents implements upstream.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]upstream.CacheEvent, error) {
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	reply, err := httpx.GetJSON[CacheEventsReply](ctx, c.control, path)
	return reply.Events, err
}

// Order implements upstream.Controlled.
func (c *Client) Order(ctx context.Context, o upstream.Order) error {
	_, err := httpx.CallJSON[upstream.Order, httpx.NoBody](ctx, c.control, fasthttp.MethodPost, PathOrder, o)
	var status *httpx.StatusError
	if !errors.As(err, &status) {
		return err
	}
	switch status.Status {
	case StatusFenced:
		return fmt.Errorf("%w: %s", upstream.ErrFenced, status.Detail)
	case StatusBusy:
		return fmt.Errorf("%w: %s", upstream.ErrBusy, status.Detail)
	default:
		return err
	}
}

// State implements upstream.Controlled.
func (c *Client) State(ctx context.Context) (upstream.EngineState, error) {
	return httpx.GetJSON[upstream.EngineState](ctx, c.control, PathState)
}

func streamPath(attemptID string) string { return PathStreams + url.PathEscape(attemptID) }

func generateMessage(r upstream.GenerateRequest) GenerateMessage {
	return GenerateMessage{
		AttemptID:   r.AttemptID,
		Model:       r.Model,
		Adapter:     r.Adapter,
		Prompt:      r.Prompt,
		Prior:       r.Prior,
		PriorTokens: r.PriorTokens,
		MaxTokens:   r.MaxTokens,
		Priority:    r.Priority,
		KV:          r.KV,
	}
}
