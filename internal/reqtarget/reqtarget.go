// Package reqtarget reads the target of an HTTP request. Whatever routes, logs, compares or forwards a
// request takes its parts from here, so that no two readers understand one target differently.
package reqtarget

import (
	"net"
	"strings"
)

// Target is the target of a request in its parts. None is unescaped, because that could make two different
// paths equal.
type Target struct {
	// Authority is what a target in absolute form names instead of the Host header, without user
	// information; empty for other forms.
	Authority string
	// Path is the path as it was sent, or the whole of a target that has none ("*", "host:port").
	Path string
	// Query is the query with its question mark, empty without one.
	Query string
}

// Parse reads a target as it was sent. One that begins with a slash is in origin form, whatever follows.
func Parse(raw string) Target {
	var t Target
	rest := raw
	if scheme, after, found := strings.Cut(raw, "://"); found && isScheme(scheme) {
		end := strings.IndexAny(after, "/?")
		if end < 0 {
			end = len(after)
		}
		t.Authority, rest = after[strings.LastIndexByte(after[:end], '@')+1:end], after[end:]
		if !strings.HasPrefix(rest, "/") {
			rest = "/" + rest
		}
	}
	path, _, found := strings.Cut(rest, "?")
	t.Path = path
	if found {
		t.Query = rest[len(path):]
	}
	return t
}

// isScheme reports whether a text is the scheme of a URI.
func isScheme(s string) bool {
	for i, c := range []byte(s) {
		switch {
		case 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z':
		case i > 0 && ('0' <= c && c <= '9' || c == '+' || c == '-' || c == '.'):
		default:
			return false
		}
	}
	return s != ""
}

// Origin returns the target in origin form, as upstreams get it.
func (t Target) Origin() string { return t.Path + t.Query }

// Host returns the host that an authority or a Host header names, without its port and without the
// brackets of an IPv6 address.
func Host(authority string) string {
	if name, _, err := net.SplitHostPort(authority); err == nil {
		return name
	}
	if inner, found := strings.CutPrefix(authority, "["); found {
		return strings.TrimSuffix(inner, "]")
	}
	return authority
}
