package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// errCutEvent says that a stream ended in the middle of an event.
var errCutEvent = errors.New("the stream ended in the middle of an event")

// event is one event of a stream, as it came.
type event struct {
	raw []byte
	// id is its number, 0 if it has none.
	id int
}

// eventReader takes a stream apart into whole events: an upstream that breaks
// off may do so in the middle of one, and a part of an event must not reach the
// caller, who would join it to the next upstream's.
type eventReader struct {
	in *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the next whole event, or io.EOF after the last.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.in.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEvent {
			return event{}, fmt.Errorf("an event has more than %d bytes", maxEvent)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(e.raw) > 0 {
			return event{}, errCutEvent
		}
		if err != nil {
			return event{}, err
		}
		if id, ok := eventID(line); ok {
			e.id = id
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e, nil
		}
	}
}

func eventID(line []byte) (int, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	return id, err == nil
}
