package exchange

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// Match says by what the response to a request is recognized. The zero value means that
// nothing identifies it: on a kept connection a late response to an earlier request would
// be taken for it, so such an exchange gets a connection of its own.
type Match struct{ header, id string }

// EchoedID returns the match of a response that echoes the request's id in a header. No two
// exchanges with the same id use the same connection.
func EchoedID(header, id string) Match { return Match{header: header, id: id} }

// identifies reports whether the match tells the response from those to other requests.
func (m Match) identifies() bool { return m.header != "" && m.id != "" }

// accepts reports whether a response may be the one to the request.
func (m Match) accepts(h http.Header) bool { return !m.identifies() || h.Get(m.header) == m.id }

func (m Match) hash() uint64 { return xxhash.Sum64String(m.id) }

// maxFoundBytes limits the length of Mismatch.Found, which the upstream controls.
const maxFoundBytes = 64

// Mismatch describes a dropped response that belongs to another request.
type Mismatch struct {
	// Wanted is the request's id. Found is the beginning of the response's, empty if it
	// has none.
	Wanted, Found string
	Status        int
	// Reused says that the connection had carried earlier requests.
	Reused bool
}

func (m Match) mismatch(response *http.Response, reused bool) Mismatch {
	found := response.Header.Get(m.header)
	return Mismatch{Wanted: m.id, Found: found[:min(len(found), maxFoundBytes)], Status: response.StatusCode, Reused: reused}
}
