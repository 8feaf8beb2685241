package settings

import (
	"bytes"
	"os"

	"github.com/rotisserie/eris"
)

// minSecretBytes is the shortest peer secret that is taken: 128 bits.
const minSecretBytes = 16

// PeerSecret reads the secret that the system's processes share. White space
// around it doesn't count. No message carries any of it.
func (s Security) PeerSecret() ([]byte, error) {
	data, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, eris.Wrap(err, "peer secret can't be read")
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minSecretBytes {
		return nil, eris.Errorf("peer secret in %s has %d bytes, %d at least are needed",
			s.PeerSecretFile, len(secret), minSecretBytes)
	}
	return secret, nil
}
