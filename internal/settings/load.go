package settings

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Load reads and validates a settings file. It returns a wrapped system error if
// the file can't be read, and an *Error that lists all problems if it is invalid.
// Relative paths in the file are resolved against the file's directory.
func Load(path string) (*Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read settings")
	}
	d, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	d.resolvePaths(filepath.Dir(path))
	return d, nil
}

// Parse decodes and validates the text of a settings file; file is the name used
// in messages. A non-nil error is always an *Error.
func Parse(file string, data []byte) (*Deployment, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, &Error{Problems: []Problem{syntaxProblem(file, err)}}
	}
	d := Defaults()
	ps := &problems{file: file, lines: lineIndex{}}
	dec := decoder{data: data, problems: ps}
	dec.decode(root, "", &d)
	if len(ps.list) == 0 {
		check(&d, ps)
	}
	if err := ps.err(); err != nil {
		return nil, err
	}
	return &d, nil
}

func (d *Deployment) resolvePaths(dir string) {
	paths := []*string{
		&d.InitialRules,
		&d.Security.PeerSecretFile,
		&d.Security.TLSCertFile,
		&d.Security.TLSKeyFile,
		&d.Security.TLSCAFile,
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}
