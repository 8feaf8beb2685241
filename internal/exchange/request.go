package exchange

import (
	"bufio"
	"net/http"
	"strconv"
)

// Request is what one exchange sends.
type Request struct {
	Method string
	// Target is the request target as the caller sent it, unescaped and whole.
	Target string
	Host   string
	// Header holds the end-to-end headers, in canonical spelling.
	Header http.Header
	Body   []byte
	// ID is expected back in the answer's header IDHeader; both empty turn the
	// check off.
	IDHeader, ID string
	// NonIdempotent keeps the request off connections that the upstream may just have
	// closed: a reset there leaves open whether the request ran.
	NonIdempotent bool
}

// write writes the head and, if it is short, the body in one piece.
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
