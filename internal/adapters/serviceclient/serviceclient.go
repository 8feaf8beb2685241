// Package serviceclient is the adapter for a plain HTTP service. It sends each request
// at most once, and never retries.
package serviceclient

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// Client is the adapter for one service.
type Client struct{ http *httpx.Client }

// New returns an adapter for the service at an address.
func New(addr string, o httpx.Options) upstream.Service {
	return &Client{http: httpx.New(addr, o)}
}

// Call implements upstream.Service. Any response that isn't marked as not run is
// returned unchanged, in memory of its own. If the context ends the call, its
// connection is closed, so that a late response can't reach another call.
func (c *Client) Call(ctx context.Context, r upstream.ServiceRequest) (upstream.ServiceResponse, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillRequest(req, r)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.http.Do(ctx, req, resp); err != nil {
		return upstream.ServiceResponse{}, err
	}
	if httpx.Refused(&resp.Header) {
		return upstream.ServiceResponse{}, httpx.NewStatusError(resp)
	}
	if err := httpx.CheckAttempt(&resp.Header, r.AttemptID); err != nil {
		return upstream.ServiceResponse{}, err
	}
	return toResponse(resp), nil
}

// Connect reports whether the service accepts connections.
func (c *Client) Connect(ctx context.Context) error { return c.http.Connect(ctx) }

func fillRequest(req *fasthttp.Request, r upstream.ServiceRequest) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.Path)
	for _, h := range r.Headers {
		if !isHopByHop(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	if r.AttemptID != "" {
		req.Header.Set(httpx.HeaderAttempt, r.AttemptID)
	}
	req.SetBodyRaw(r.Body)
}

func toResponse(resp *fasthttp.Response) upstream.ServiceResponse {
	out := upstream.ServiceResponse{
		Status: resp.StatusCode(),
		Body:   resp.SwapBody(nil), // a copy would double what a large body takes
	}
	for name, value := range resp.Header.All() {
		if !isHopByHop(string(name)) {
			out.Headers = append(out.Headers, upstream.Header{Name: string(name), Value: string(value)})
		}
	}
	return out
}

// The lower-case names of headers that belong to the call's connection or attempt.
var (
	attemptHeader  = strings.ToLower(httpx.HeaderAttempt)
	exchangeHeader = strings.ToLower(httpx.HeaderExchange)
)

// isHopByHop reports whether a header applies to one connection only, or is set by
// the HTTP library from the message.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
		"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "host", "expect", attemptHeader, exchangeHeader:
		return true
	default:
		return false
	}
}
