package ctl

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/operator/api"
	"tamarackchute/internal/settings"
	"tamarackchute/upstream"
)

// maxReply is the maximum size of a response body in bytes.
const maxReply = 8 << 20

// client sends requests to the instances' operators' addresses.
type client struct {
	instances []settings.Instance
	token     string
	tls       *tls.Config
}

// reply is the response of an instance.
type reply struct {
	instance string
	status   int
	body     []byte
}

// decode decodes the JSON body into v.
func (r *reply) decode(v any) error {
	err := json.Unmarshal(r.body, v)
	return eris.Wrapf(err, "%s answered in an unknown form", r.instance)
}

// failure converts an error response to an error with the matching exit code.
func (r *reply) failure() error {
	var e api.Error
	if json.Unmarshal(r.body, &e) != nil || e.Error == "" {
		e.Error = fmt.Sprintf("status %d", r.status)
	}
	if r.status == fasthttp.StatusUnauthorized {
		return &exitError{code: ExitUnauthorised, message: e.Error}
	}
	return &exitError{code: ExitFailed, message: r.instance + ": " + e.Error}
}

// connect creates a client from the settings and the token. It opens no connection.
func (s *session) connect() (*client, error) {
	d, err := s.load()
	if err != nil {
		return nil, err
	}
	token, err := s.token()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := d.Security.ClientTLS()
	if err != nil {
		return nil, err
	}
	instances := slices.Clone(d.Instances)
	if s.instance != "" {
		first := slices.IndexFunc(instances, func(i settings.Instance) bool { return i.Name == s.instance })
		if first < 0 {
			return nil, usageError("the settings name no instance %q", s.instance)
		}
		instances = slices.Concat(instances[first:], instances[:first])
	}
	return &client{instances: instances, token: token, tls: tlsConfig}, nil
}

// call sends a request to one instance, without retries.
func (c *client) call(ctx context.Context, in settings.Instance, method, path string, body any) (*reply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err) // request types of package api can always be encoded
		}
		request.Header.SetContentType("application/json")
		request.SetBody(data)
	}
	host := httpx.New(in.Operators, httpx.Options{TLS: c.tls, MaxBody: maxReply, Sender: "chutectl"})
	defer host.CloseIdle()
	if err := host.Do(ctx, request, response); err != nil {
		return nil, err
	}
	return &reply{instance: in.Name, status: response.StatusCode(), body: slices.Clone(response.Body())}, nil
}

// first sends a request to one instance after the other until one answers. Instances
// that can't be reached or answer with status 503 are skipped.
func (c *client) first(ctx context.Context, method, path string, body any) (*reply, error) {
	var failures []string
	for _, in := range c.instances {
		r, err := c.call(ctx, in, method, path, body)
		switch {
		case err != nil:
			failures = append(failures, in.Name+": "+cause(err))
		case r.status == fasthttp.StatusServiceUnavailable:
			failures = append(failures, r.failure().Error())
		case r.status == fasthttp.StatusOK || r.status == fasthttp.StatusUnprocessableEntity:
			return r, nil
		default:
			return nil, r.failure()
		}
	}
	return nil, eris.New("no instance could answer: " + strings.Join(failures, "; "))
}

// cause returns the message of a failed call's cause, without its stack trace.
func cause(err error) string {
	var call *httpx.CallError
	if errors.As(err, &call) {
		return call.Cause.Error()
	}
	return err.Error()
}

// mayHaveRun reports whether a failed call may have been executed.
func mayHaveRun(err error) bool { return !errors.Is(err, upstream.ErrNotSent) }
