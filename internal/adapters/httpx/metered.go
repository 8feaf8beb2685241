package httpx

import (
	"net"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/bodylimit"
)

// growth is how much memory a buffer takes that grows by doubling, as a multiple of what it contains.
const growth = 2

// meteredConn counts the bytes of a response's body that are read from a connection.
type meteredConn struct {
	net.Conn
	share *bodylimit.Share
	// read counts the bytes since the body began. It is notCounted before, and for a body of known length.
	read int
}

const notCounted = -1

// begin begins the body. One of known length gets its room at once, as the buffer does. A nil meteredConn
// counts nothing.
func (m *meteredConn) begin(length, maxBody int) error {
	if m == nil {
		return nil
	}
	if length < 0 {
		m.read = 0
		return m.share.Hold(0)
	}
	m.read = notCounted
	if maxBody > 0 && length > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	return m.share.Hold(length)
}

// Read implements io.Reader.
func (m *meteredConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if m.read == notCounted {
		return n, err
	}
	m.read += n
	if limit := m.share.Hold(growth * m.read); limit != nil {
		return 0, limit // io.ReadFull drops an error that comes with enough bytes
	}
	return n, err
}

// readsFrom returns what a response is read from.
func (e *exchange) readsFrom() net.Conn {
	if e.metered == nil {
		return e.conn
	}
	return e.metered
}
