package bodylimit

import (
	"errors"
	"io"
	"time"
)

const (
	// minBuffer is the initial size of a body's buffer.
	minBuffer = 4 << 10
	// roomTries and roomPause limit the wait for the room of others that have been told to end.
	roomTries = 20
	roomPause = 10 * time.Millisecond
)

// ErrTooLarge is returned for a body that is longer than allowed.
var ErrTooLarge = errors.New("bodylimit: the body is too large")

// ReadAll reads a body of at most limit bytes. Its buffer grows with what has arrived, whatever length was announced, and
// counts in the share before it is allocated. length is that of the body, negative if it isn't known. makeRoom, if it isn't
// nil, is asked to end others once there is no room; it reports whether any were ended.
func ReadAll(r io.Reader, length, limit int64, share *Share, makeRoom func() bool) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	most := limit + 1 // one byte more, to see the end
	if length > 0 {
		most = length + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := int(min(most, max(minBuffer, 2*int64(cap(body)))))
			if size == len(body) {
				return nil, ErrTooLarge
			}
			if err := holdOrWait(share, size, makeRoom); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

func holdOrWait(share *Share, size int, makeRoom func() bool) error {
	err := share.Hold(size)
	if err == nil || makeRoom == nil || !makeRoom() {
		return err
	}
	for range roomTries {
		time.Sleep(roomPause)
		if err = share.Hold(size); err == nil {
			return nil
		}
	}
	return err
}
