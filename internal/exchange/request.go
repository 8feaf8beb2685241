package exchange

import (
	"bufio"
	"net/http"
	"strconv"
)

// Request is the request of one exchange.
type Request struct {
	Method string
	// Target is the complete request target as the caller sent it, not decoded.
	Target string
	Host   string
	// Header holds the end-to-end headers, under their canonical names.
	Header http.Header
	Body   []byte
	// Match identifies the response. Without it, or with HEAD, the exchange gets a connection
	// of its own.
	Match Match
	// NonIdempotent keeps the request off connections that the upstream may just be
	// closing: after a reset there it isn't known whether the request ran.
	NonIdempotent bool
	// Admit is called once a connection is ready, right before the first byte is written.
	// An error ends the exchange with nothing sent. Nil admits the request.
	Admit func() error
}

func (r *Request) admitted() error {
	if r.Admit == nil {
		return nil
	}
	return r.Admit()
}

// write writes the request. If headers and body fit the buffer, they go out in one write.
func (r *Request) write(w *bufio.Writer) error {
	for _, part := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := w.WriteString(part); err != nil {
			return err
		}
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if len(r.Body) > 0 || mayHaveBody(r.Method) {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}

func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
