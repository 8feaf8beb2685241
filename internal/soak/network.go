package soak

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

// standinHost is the last byte of the stand-ins' address in a run's network.
const standinHost = 253

const (
	// A run listens at guardHost and guardPort of its network while it uses it. Two runs on the
	// same addresses would serve each other's requests.
	guardHost = 254
	guardPort = 7659
	// networkTries bounds the search for a free network.
	networkTries = 200
)

// reserveNetwork returns the first three bytes of loopback addresses that no other run uses
// until release is called.
func reserveNetwork() (network string, release func(), err error) {
	for range networkTries {
		network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		guard, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, guardHost, guardPort))
		if err == nil {
			return network, func() { _ = guard.Close() }, nil
		}
	}
	return "", nil, eris.New("no free loopback network")
}
