// Package responsestatus tells which status codes a response may have.
package responsestatus

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrImpossible is returned for a status that no response to a plain request has: what came is no response.
var ErrImpossible = errors.New("no response has this status")

// The bounds of RFC 9110, section 15.
const (
	least = 100
	most  = 599
)

// Check returns an error that matches ErrImpossible for a status outside of 100 to 599, and for 101, as no request asks for
// another protocol.
func Check(status int) error {
	if status < least || status > most || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %03d", ErrImpossible, status)
	}
	return nil
}
