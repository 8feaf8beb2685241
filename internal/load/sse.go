package load

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// event is one server-sent event.
type event struct {
	id   string
	name string
	data []byte
}

// eventReader reads server-sent events. It skips comments, such as heartbeats.
type eventReader struct{ in *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{in: bufio.NewReader(r)} }

// next returns the next complete event, or io.EOF at the end of the stream. An event that the
// end cuts off is dropped, as the standard requires.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.in.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return event{}, errors.New("event line too long")
			}
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if e.data == nil && e.name == "" {
				e = event{}
				continue
			}
			return e, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			e.id = string(value)
		case "event":
			e.name = string(value)
		case "data":
			if e.data != nil {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
		}
	}
}
