package settings

import (
	"bytes"
	"os"

	"github.com/rotisserie/eris"
)

// minSecretBytes is the minimum length of the peer secret: 128 bits.
const minSecretBytes = 16

// PeerSecret reads the secret shared by the system's processes, without leading
// and trailing white space. Error messages never contain any part of it.
func (s Security) PeerSecret() ([]byte, error) {
	data, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, eris.Wrap(err, "read peer secret")
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minSecretBytes {
		return nil, eris.Errorf("peer secret in %s has %d bytes; the minimum is %d",
			s.PeerSecretFile, len(secret), minSecretBytes)
	}
	return secret, nil
}
