package httpx

import (
	"crypto/rand"
	"errors"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// HeaderExchange carries the ID of an exchange, one request and its response. The server
// repeats it in the response. The attempt's ID can't serve: an attempt has several
// exchanges, and many exchanges belong to no attempt.
const HeaderExchange = "X-Exchange-Id"

// Limits of the responses to other exchanges that are dropped while waiting for one's own.
const (
	maxForeignResponses = 4
	// maxForeignBody is in bytes.
	maxForeignBody = 1 << 20
)

// maxInterimResponses limits the informational responses before a response.
const maxInterimResponses = 16

// headSuffix ends the IDs of HEAD requests, so that a response to one of them can be told
// to have no body when it arrives in another exchange.
const headSuffix = "-head"

var (
	errUnidentified   = errors.New("response on a reused connection doesn't name its exchange")
	errTooManyForeign = errors.New("too many responses to other exchanges")
	errTooManyInterim = errors.New("too many informational responses")
)

// exchangeIDs issues the IDs of a client's exchanges. An ID is never issued twice, so two
// exchanges with the same ID can't share a connection.
type exchangeIDs struct {
	prefix string
	last   atomic.Uint64
}

func newExchangeIDs() *exchangeIDs { return &exchangeIDs{prefix: rand.Text() + "-"} }

// next returns the ID of an exchange; head means that it is a HEAD request.
func (ids *exchangeIDs) next(head bool) []byte {
	id := make([]byte, 0, len(ids.prefix)+2*len(headSuffix))
	id = append(id, ids.prefix...)
	id = strconv.AppendUint(id, ids.last.Add(1), 36)
	if head {
		id = append(id, headSuffix...)
	}
	return id
}

// EchoExchange wraps a server's handler so that each response names its exchange. A client
// keeps connections only to servers that do this.
func EchoExchange(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handle(ctx)
		SetExchange(&ctx.Response.Header, &ctx.Request.Header)
	}
}

// SetExchange names the request's exchange, if it has an ID, in the response's header.
func SetExchange(response *fasthttp.ResponseHeader, request *fasthttp.RequestHeader) {
	if id := request.Peek(HeaderExchange); len(id) > 0 {
		response.SetBytesV(HeaderExchange, id)
	}
}

// foreignLogInterval limits the log lines about responses to other exchanges.
const foreignLogInterval = time.Second

// foreignLog counts and logs the dropped responses from an address.
type foreignLog struct {
	addr    string
	log     *slog.Logger
	dropped atomic.Uint64
	limit   rate.Sometimes
}

func newForeignLog(addr string, log *slog.Logger) *foreignLog {
	return &foreignLog{addr: addr, log: log, limit: rate.Sometimes{Interval: foreignLogInterval}}
}

func (l *foreignLog) add(status int, id, want []byte) {
	dropped := l.dropped.Add(1)
	l.limit.Do(func() {
		l.log.Warn("dropped a response to another exchange",
			"address", l.addr, "status", status, "exchange", string(id), "want", string(want), "dropped", dropped)
	})
}
