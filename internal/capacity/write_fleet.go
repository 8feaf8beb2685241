package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
)

// Secrets are what a made-up fleet's processes and operator need.
type Secrets struct {
	// Peers is shared by the processes.
	Peers string
	// OperatorHash is the SHA-256 of the operator's token in hex; empty for no
	// operator.
	OperatorHash string
}

// WriteFleet writes the settings of a made-up fleet into a folder, with the
// secret that they name and a first rule set beside them, and returns the
// settings' file.
func WriteFleet(folder string, s FleetSize, secrets Secrets) (string, error) {
	d := Fleet(s)
	if secrets.OperatorHash != "" {
		d.Security.Operators = append(d.Security.Operators, settings.Operator{
			Name: "operator", TokenSHA256: secrets.OperatorHash,
		})
	}
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, "settings can't be encoded")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(folder, "peer.secret"), []byte(secrets.Peers), 0o600); err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(folder, "rules.json"), document(1), 0o644); err != nil {
		return "", err
	}
	file := filepath.Join(folder, "settings.json")
	return file, os.WriteFile(file, append(text, '\n'), 0o644)
}
