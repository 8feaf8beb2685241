package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"tamarackchute/internal/exchange"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// errTruncatedEvent is returned for a stream that ended in the middle of an event.
var errTruncatedEvent = errors.New("the stream ended in the middle of an event")

// event is one event of a stream, byte for byte as received.
type event struct {
	raw []byte
	// id is the event's id, 0 if it has none.
	id int
}

// eventReader splits a stream into complete events. An upstream may fail in the middle
// of one, and a partial event must not reach the caller, who would join it to the next
// upstream's first event.
type eventReader struct {
	in *bufio.Reader
	// hold is told how many bytes of an event are held, and may reject them.
	hold func(bytes int) error
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, 4<<10), hold: func(int) error { return nil }}
}

// next returns the next complete event, or io.EOF after the last one.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.in.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return event{}, fmt.Errorf("%w: an event has more than %d bytes", exchange.ErrResponseTooLarge, maxEventBytes)
		}
		if err := r.hold(len(e.raw)); err != nil {
			return event{}, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(e.raw) > 0 {
			return event{}, errTruncatedEvent
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
