package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// WriteFleet writes the settings of a made-up fleet into a folder, with the
// secret that they name, and returns the settings' file.
func WriteFleet(folder string, s FleetSize, secret []byte) (string, error) {
	text, err := json.MarshalIndent(Fleet(s), "", "  ")
	if err != nil {
		return "", eris.Wrap(err, "settings can't be encoded")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(folder, "peer.secret"), secret, 0o600); err != nil {
		return "", err
	}
	file := filepath.Join(folder, "settings.json")
	return file, os.WriteFile(file, append(text, '\n'), 0o644)
}
