package rules

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"tamarackchute/infra"
	"tamarackchute/journal"
)

// Version identifies a published rule set by the position of its publication in
// the log. The zero version means a deployment without rules.
type Version journal.Position

// noVersion is the text form of the zero version.
const noVersion = "none"

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool { return journal.Position(v).Less(journal.Position(w)) }

// IsZero reports whether v is the version of a deployment without rules.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the version as operators write it: "1042.0", or "none".
func (v Version) String() string {
	if v.IsZero() {
		return noVersion
	}
	return strconv.FormatUint(uint64(v.Offset), 10) + "." + strconv.FormatUint(uint64(v.Index), 10)
}

// ParseVersion parses the result of String.
func ParseVersion(s string) (Version, error) {
	if s == noVersion {
		return Version{}, nil
	}
	offset, index, ok := strings.Cut(s, ".")
	o, errOffset := strconv.ParseUint(offset, 10, 64)
	i, errIndex := strconv.ParseUint(index, 10, 16)
	if !ok || errOffset != nil || errIndex != nil || o == 0 {
		return Version{}, eris.Errorf("rules: %q is no version; versions look like 1042.0", s)
	}
	return Version{Offset: infra.Offset(o), Index: uint16(i)}, nil
}

// MarshalText implements encoding.TextMarshaler.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Version) UnmarshalText(text []byte) error {
	parsed, err := ParseVersion(string(text))
	if err == nil {
		*v = parsed
	}
	return err
}
