package settings

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Load reads and checks a settings file. A file that can't be read gives a
// wrapped error of the operating system; a faulty one an *Error with every
// problem that was found, each with file, line and key. Paths in the file are
// taken as relative to its folder.
func Load(path string) (*Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings can't be read")
	}
	d, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	d.resolvePaths(filepath.Dir(path))
	return d, nil
}

// Parse checks the text of a settings file; file is its name in messages. The
// error is always an *Error.
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
