package exchange

import (
	"io"
	"net/http"

	"tamarackchute/internal/bodylimit"
)

// Hold declares how many bytes of the response are held in memory, in place of what was declared before.
// Close declares that none are.
func (resp *Response) Hold(bytes int) error { return resp.share.Hold(bytes) }

// ReadAll reads the complete body. One of more than limit bytes is an error, so that a truncated body can't
// pass for a complete one. The body counts as held until Close.
func (resp *Response) ReadAll(limit int64) ([]byte, error) {
	if resp.Length > limit && resp.body != http.NoBody { // the response to a HEAD names the length of another
		return nil, ErrResponseTooLarge
	}
	body := make([]byte, 0, min(max(resp.Length, minBody), bodylimit.FreeBytes)+1)
	for {
		if len(body) == cap(body) {
			if err := resp.Hold(2 * cap(body)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrResponseTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// minBody is the initial size of the buffer of a body whose length isn't known.
const minBody = 512
