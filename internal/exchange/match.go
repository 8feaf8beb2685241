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
