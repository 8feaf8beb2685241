package httpx

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"
)

const contentJSON = "application/json"

// NoBody is the message type of a request or response without a body.
type NoBody struct{}

// GetJSON sends a GET request and decodes the response.
func GetJSON[Out any](ctx context.Context, c *Client, path string) (Out, error) {
	return CallJSON[NoBody, Out](ctx, c, fasthttp.MethodGet, path, NoBody{})
}

// CallJSON sends a message and decodes the response. A status other than 2xx is a
// *StatusError; a response that can't be decoded is an upstream.ErrBroken.
func CallJSON[In, Out any](ctx context.Context, c *Client, method, path string, in In) (Out, error) {
	var out Out
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := FillJSON(req, method, path, in); err != nil {
		return out, notSent(err)
	}
	return DoJSON[Out](ctx, c, req, resp)
}

// DoJSON sends a request and decodes the response, with errors as of CallJSON.
func DoJSON[Out any](ctx context.Context, c *Client, req *fasthttp.Request, resp *fasthttp.Response) (Out, error) {
	var out Out
	if err := c.Do(ctx, req, resp); err != nil {
		return out, err
	}
	if !IsSuccess(resp.StatusCode()) {
		return out, NewStatusError(resp)
	}
	if _, none := any(out).(NoBody); none {
		return out, nil
	}
	if err := json.Unmarshal(resp.Body(), &out); err != nil {
		return out, Broken(err)
	}
	return out, nil
}

// FillJSON sets a request's method, path and, unless the message is NoBody, its body.
func FillJSON[In any](req *fasthttp.Request, method, path string, in In) error {
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	if _, none := any(in).(NoBody); none {
		return nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req.Header.SetContentType(contentJSON)
	req.SetBodyRaw(body)
	return nil
}

// IsSuccess reports whether a status is 2xx.
func IsSuccess(status int) bool { return status >= 200 && status < 300 }
