// Package apikey identifies the organisation of a request by its API key.
//
// Keys are held and compared as digests only: no value of this package contains a key.
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// Digest identifies a key.
type Digest [sha256.Size]byte

// fingerprintBytes is the length of the part of a digest that operators see.
const fingerprintBytes = 4

// Fingerprint returns the first 8 hexadecimal digits of the digest. It names a key in lists
// and logs.
func (d Digest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// maxKeyBytes limits the length of a key.
const maxKeyBytes = 256

// DigestOf returns the digest of a key. It fails with ErrMalformed if no caller could send the
// key in a header.
func DigestOf(key string) (Digest, error) {
	var buffer [maxKeyBytes]byte // keeps the conversion off the heap
	if key == "" || len(key) > maxKeyBytes {
		return Digest{}, ErrMalformed
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return Digest{}, ErrMalformed
		}
	}
	return sha256.Sum256(buffer[:copy(buffer[:], key)]), nil
}

// Errors of a request's credentials. Their texts don't contain any of the request.
var (
	ErrMissing   = errors.New("the request has no API key")
	ErrMalformed = errors.New("the API key is malformed")
)

// Header is the request header that carries a key.
const Header = "Authorization"

// scheme precedes a key in the header.
const scheme = "Bearer"

// FromHeader returns the digest of the key in the values of Header. The error is ErrMissing or
// ErrMalformed.
func FromHeader(values []string) (Digest, error) {
	if len(values) == 0 {
		return Digest{}, ErrMissing
	}
	if len(values) > 1 {
		return Digest{}, ErrMalformed
	}
	name, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(name, scheme) {
		return Digest{}, ErrMalformed
	}
	return DigestOf(strings.Trim(key, " "))
}

// Organisation is one organisation among the callers.
type Organisation struct {
	Name string
	// Priority replaces that of the matching rule; nil keeps the rule's.
	Priority *int
	// Keys may be empty: an organisation may lose all its keys.
	Keys []Digest
}

// Set is an immutable set of organisations. A nil set means that no rule needs a key.
type Set struct {
	organisations []Organisation
	byKey         map[Digest]*Organisation
}

// NewSet checks organisations and returns their set. The error lists all faults.
func NewSet(organisations []Organisation) (*Set, error) {
	s := &Set{organisations: organisations, byKey: make(map[Digest]*Organisation)}
	var faults []error
	names := make(map[string]bool, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		if err := checkName(o.Name); err != nil {
			faults = append(faults, err)
		}
		if names[o.Name] {
			faults = append(faults, fmt.Errorf("organisation %q is listed twice", o.Name))
		}
		names[o.Name] = true
		for _, key := range o.Keys {
			if other := s.byKey[key]; other != nil && other != o {
				faults = append(faults, fmt.Errorf("key %s belongs to %q and %q", key.Fingerprint(), other.Name, o.Name))
			}
			s.byKey[key] = o
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return s, nil
}

// checkName checks that a name can be sent in a header.
func checkName(name string) error {
	if name == "" {
		return errors.New("an organisation has no name")
	}
	if strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r > '~' }) {
		return fmt.Errorf("organisation %q: the name must be printable ASCII", name)
	}
	return nil
}

// Lookup returns the organisation that holds a key.
func (s *Set) Lookup(d Digest) (*Organisation, bool) {
	o, ok := s.byKey[d]
	return o, ok
}

// Organisations returns all organisations. The caller must not change them.
func (s *Set) Organisations() []Organisation { return s.organisations }
