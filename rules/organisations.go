package rules

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"tamarackchute/apikey"
)

// Organisation is one of the callers' organisations as written by operators. A document without
// organisations needs no keys.
type Organisation struct {
	// Name is unique within the document.
	Name string `json:"name"`
	// Keys are the digests of the API keys, as FormatDigest writes them: a document contains no
	// key.
	Keys []string `json:"keys"`
	// Priority replaces that of the matching rule; nil keeps the rule's.
	Priority *int `json:"priority,omitempty"`
}

// digestPrefix precedes a digest in hexadecimal.
const digestPrefix = "sha256:"

// FormatDigest returns a key's digest as documents have it.
func FormatDigest(d apikey.Digest) string { return digestPrefix + hex.EncodeToString(d[:]) }

func parseDigest(text string) (d apikey.Digest, ok bool) {
	digits, found := strings.CutPrefix(text, digestPrefix)
	if !found || len(digits) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(digits))
	return d, err == nil
}

// decodeOrganisations decodes the list of organisations and reports its problems.
func decodeOrganisations(c *collector, v *hujson.Value) *apikey.Set {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		c.add(v.StartOffset, "", "organisations must be a list")
		return nil
	}
	list := make([]apikey.Organisation, 0, len(array.Elements))
	first := len(c.problems)
	for i := range array.Elements {
		list = append(list, decodeOrganisation(c, &array.Elements[i]))
	}
	if len(c.problems) > first {
		return nil
	}
	set, err := apikey.NewSet(list)
	if err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			c.add(v.StartOffset, "", "%s", line)
		}
	}
	return set
}

func decodeOrganisation(c *collector, v *hujson.Value) apikey.Organisation {
	var o apikey.Organisation
	d := decoder{c: c}
	d.object(v, "an organisation", map[string]fieldSpec{
		"name": {required: true, read: func(v *hujson.Value) { d.value(v, "name", &o.Name) }},
		"keys": {read: func(v *hujson.Value) { o.Keys = d.digests(v) }},
		"priority": {read: func(v *hujson.Value) {
			o.Priority = new(int)
			d.value(v, "priority", o.Priority)
			if *o.Priority < -maxPriority || *o.Priority > maxPriority {
				d.fail(v.StartOffset, "priority must lie between %d and %d", -maxPriority, maxPriority)
			}
		}},
	})
	return o
}

// digests decodes a list of digests. Its messages don't repeat the values: an operator may have
// written a key by mistake.
func (d *decoder) digests(v *hujson.Value) []apikey.Digest {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fail(v.StartOffset, "keys must be a list")
		return nil
	}
	digests := make([]apikey.Digest, 0, len(array.Elements))
	for i := range array.Elements {
		element := &array.Elements[i]
		literal, isLiteral := element.Value.(hujson.Literal)
		if !isLiteral || literal.Kind() != '"' {
			d.fail(element.StartOffset, "key %d must be a string", i+1)
			continue
		}
		digest, valid := parseDigest(literal.String())
		if !valid {
			d.fail(element.StartOffset, "key %d must be %s and 64 hexadecimal digits", i+1, digestPrefix)
			continue
		}
		digests = append(digests, digest)
	}
	return digests
}

// Organisations returns a document's organisations. An error is an *InvalidError.
func Organisations(document []byte) ([]apikey.Organisation, error) {
	c := &collector{src: document}
	s := Set{}
	decode(c, &s)
	if err := c.err(); err != nil {
		return nil, err
	}
	if s.keys == nil {
		return nil, nil
	}
	return s.keys.Organisations(), nil
}

// AddKey returns the document with one more key of an organisation, which is added if there is
// none of that name.
func AddKey(document []byte, organisation string, key apikey.Digest) ([]byte, error) {
	list, err := Organisations(document)
	if err != nil {
		return nil, err
	}
	at := indexOfOrganisation(list, organisation)
	switch {
	case list == nil:
		return patch(document, fmt.Sprintf(`[{"op":"add","path":"/organisations","value":[{"name":%q,"keys":[%q]}]}]`, organisation, FormatDigest(key)))
	case at < 0:
		return patch(document, fmt.Sprintf(`[{"op":"add","path":"/organisations/-","value":{"name":%q,"keys":[%q]}}]`, organisation, FormatDigest(key)))
	case list[at].Keys == nil:
		return patch(document, fmt.Sprintf(`[{"op":"add","path":"/organisations/%d/keys","value":[%q]}]`, at, FormatDigest(key)))
	default:
		return patch(document, fmt.Sprintf(`[{"op":"add","path":"/organisations/%d/keys/-","value":%q}]`, at, FormatDigest(key)))
	}
}

// RemoveKey returns the document without the key of an organisation that has a fingerprint.
func RemoveKey(document []byte, organisation, fingerprint string) ([]byte, error) {
	list, err := Organisations(document)
	if err != nil {
		return nil, err
	}
	at := indexOfOrganisation(list, organisation)
	if at < 0 {
		return nil, eris.Errorf("rules: no organisation %q", organisation)
	}
	key := slices.IndexFunc(list[at].Keys, func(d apikey.Digest) bool { return d.Fingerprint() == fingerprint })
	if key < 0 {
		return nil, eris.Errorf("rules: organisation %q has no key %s", organisation, fingerprint)
	}
	return patch(document, fmt.Sprintf(`[{"op":"remove","path":"/organisations/%d/keys/%d"}]`, at, key))
}

func indexOfOrganisation(list []apikey.Organisation, name string) int {
	return slices.IndexFunc(list, func(o apikey.Organisation) bool { return o.Name == name })
}

// patch applies a JSON Patch and keeps the document's comments.
func patch(document []byte, operations string) ([]byte, error) {
	value, err := parseDocument(document)
	if err != nil {
		return nil, eris.Wrap(err, "rules: document can't be parsed")
	}
	if err := value.Patch([]byte(operations)); err != nil {
		return nil, eris.Wrap(err, "rules: document can't be changed")
	}
	return []byte(strings.TrimSuffix(string(value.Pack()), "\n")), nil
}

// holder is the organisation of a request, nil if it has none.
func (s *Set) holder(r *Request) *apikey.Organisation {
	if r.Key == nil {
		return nil
	}
	o, _ := s.keys.Lookup(*r.Key)
	return o
}

// Holds reports whether a key is one of an organisation. Without organisations it holds for any.
func (s *Set) Holds(key *apikey.Digest, organisation string) bool {
	if s.keys == nil {
		return true
	}
	if key == nil {
		return organisation == ""
	}
	o, ok := s.keys.Lookup(*key)
	if !ok {
		return organisation == ""
	}
	return o.Name == organisation
}

// identify completes a decision with the request's organisation.
func (s *Set) identify(d Decision, holder *apikey.Organisation) Decision {
	d.Keyed = true
	if holder != nil {
		d.Organisation = strings.Clone(holder.Name)
		if holder.Priority != nil {
			d.Then.Priority = *holder.Priority
		}
		return d
	}
	d.Unauthorised = d.Matched && d.Then.Refuse == nil && !d.Then.Public
	return d
}
