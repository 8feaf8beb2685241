// Package logclient is the adapter for the platform's log over HTTP.
package logclient

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// Paths of the log's protocol.
const (
	PathAppend = "/append"
	PathRead   = "/read"
)

// Record is a record's msgpack form in a response.
type Record struct {
	Offset uint64 `msgpack:"o"`
	// At is the time by the log's clock, in Unix nanoseconds.
	At   int64  `msgpack:"t"`
	Data []byte `msgpack:"d"`
}

// ReadReply is the msgpack response to a read.
type ReadReply struct {
	Oldest  uint64   `msgpack:"oldest"`
	Next    uint64   `msgpack:"next"`
	Records []Record `msgpack:"records"`
}

// Client implements infra.Log.
type Client struct {
	appends *httpx.Client
	// reads has a separate client, as reads may wait for a long time.
	reads   *httpx.Client
	timeout time.Duration
}

// New returns an adapter for the log at an address.
func New(addr string, o httpx.Options) infra.Log {
	if o.Timeout <= 0 {
		o.Timeout = httpx.DefaultTimeout
	}
	readOptions := o
	readOptions.Timeout = maxWait + o.Timeout
	return &Client{appends: httpx.New(addr, o), reads: httpx.New(addr, readOptions), timeout: o.Timeout}
}

// maxWait is the maximum time that one read waits for a record.
const maxWait = time.Minute

// Append implements infra.Log. After a lost connection the record may have been
// written. Only a refused connection or a refusal marked as not run guarantees that
// it wasn't.
func (c *Client) Append(ctx context.Context, data []byte) (infra.Offset, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(PathAppend)
	req.Header.SetContentType("application/octet-stream")
	req.SetBodyRaw(data)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.appends.Do(ctx, req, resp); err != nil {
		return 0, appendError(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return 0, appendError(httpx.NewStatusError(resp))
	}
	offset, err := strconv.ParseUint(string(resp.Header.Peek(HeaderOffset)), 10, 64)
	if err != nil {
		return 0, appendError(httpx.Broken(err))
	}
	return infra.Offset(offset), nil
}

// HeaderOffset carries the offset in the response to an append.
const HeaderOffset = "X-Offset"

func appendError(err error) error {
	var status *httpx.StatusError
	switch {
	case errors.As(err, &status) && status.NotRun && status.Status == fasthttp.StatusTooManyRequests:
		return infra.ErrRateLimited
	case errors.Is(err, upstream.ErrNotSent), errors.Is(err, upstream.ErrRefused):
		return fmt.Errorf("%w: %w", infra.ErrNotWritten, err)
	default:
		return fmt.Errorf("%w: append: %w", infra.ErrUnavailable, err)
	}
}

// Read implements infra.Log. It waits for at most a minute, even if wait is longer.
func (c *Client) Read(ctx context.Context, from infra.Offset, limit int, wait time.Duration) (infra.ReadResult, error) {
	wait = min(wait, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI(fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", PathRead, from, limit, wait.Milliseconds()))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.reads.Do(ctx, req, resp); err != nil {
		return infra.ReadResult{}, readError(err)
	}
	status := resp.StatusCode()
	if status != fasthttp.StatusOK && status != fasthttp.StatusGone {
		return infra.ReadResult{}, readError(httpx.NewStatusError(resp))
	}
	var reply ReadReply
	if err := msgpack.Unmarshal(resp.Body(), &reply); err != nil {
		return infra.ReadResult{}, readError(err)
	}
	if status == fasthttp.StatusGone {
		return infra.ReadResult{}, &infra.TrimmedError{Oldest: infra.Offset(reply.Oldest)}
	}
	return reply.result(), nil
}

func readError(err error) error {
	return fmt.Errorf("%w: read: %w", infra.ErrUnavailable, err)
}

func (r ReadReply) result() infra.ReadResult {
	out := infra.ReadResult{Oldest: infra.Offset(r.Oldest), Next: infra.Offset(r.Next)}
	if len(r.Records) > 0 {
		out.Records = make([]infra.Record, len(r.Records))
	}
	for i, rec := range r.Records {
		out.Records[i] = infra.Record{
			Offset: infra.Offset(rec.Offset),
			At:     time.Unix(0, rec.At),
			Data:   rec.Data,
		}
	}
	return out
}
