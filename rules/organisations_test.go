package rules

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/apikey"
)

func testDigest(t testing.TB, key string) apikey.Digest {
	t.Helper()
	d, err := apikey.DigestOf(key)
	require.NoError(t, err)
	return d
}

// keyedDocument has two organisations, of which one may use the key "k".
func keyedDocument(t testing.TB) []byte {
	return []byte(`{
  // the callers
  "organisations": [
    {"name": "farm", "priority": 7, "keys": ["` + FormatDigest(testDigest(t, "k")) + `"]},
    {"name": "idle"},
  ],
  "rules": [
    {"name": "open", "when": "path == \"/open\"", "then": {"pool": "p", "public": true}},
    {"name": "farm only", "when": "organisation == \"farm\"", "then": {"pool": "p", "priority": 1}},
    {"name": "closed", "when": "path == \"/closed\"", "then": {"refuse": {"status": 410, "reason": "closed"}}},
    {"name": "rest", "when": "true", "then": {"pool": "p", "priority": 1}},
  ],
}`)
}

// Guards against requests without a valid key that a rule lets pass, and against organisations that
// callers name themselves.
func TestDecisionsByKey(t *testing.T) {
	s, err := Parse(keyedDocument(t), KnownNames{})
	require.NoError(t, err)
	valid, unknown := testDigest(t, "k"), testDigest(t, "other")
	cases := []struct {
		name                    string
		request                 Request
		rule, organisation      string
		unauthorised, isRefused bool
		priority                int
	}{
		{name: "valid", request: Request{Path: "/x", Key: &valid, Organisation: "idle"}, rule: "farm only", organisation: "farm", priority: 7},
		{name: "unknown", request: Request{Path: "/x", Key: &unknown, Organisation: "farm"}, rule: "rest", unauthorised: true, priority: 1},
		{name: "none", request: Request{Path: "/x", Organisation: "farm"}, rule: "rest", unauthorised: true, priority: 1},
		{name: "public", request: Request{Path: "/open", Organisation: "farm"}, rule: "open"},
		{name: "public with a key", request: Request{Path: "/open", Key: &valid}, rule: "open", organisation: "farm", priority: 7},
		{name: "refused by the rule", request: Request{Path: "/closed"}, rule: "closed", isRefused: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := s.Match(c.request)
			require.True(t, d.Keyed)
			require.Equal(t, c.rule, d.Rule)
			require.Equal(t, c.organisation, d.Organisation)
			require.Equal(t, c.unauthorised, d.Unauthorised)
			require.Equal(t, c.isRefused, d.Then.Refuse != nil)
			require.Equal(t, c.priority, d.Then.Priority)
		})
	}
	require.True(t, s.Holds(&valid, "farm"))
	require.False(t, s.Holds(&valid, "idle"))
	require.False(t, s.Holds(&unknown, "farm"))
}

// Without organisations nothing changes: no rule needs a key, and callers name their organisation.
func TestDecisionsWithoutOrganisations(t *testing.T) {
	s, err := Parse([]byte(`{"rules": [{"name": "a", "when": "organisation == \"farm\"", "then": {"pool": "p"}}]}`), KnownNames{})
	require.NoError(t, err)
	d := s.Match(Request{Organisation: "farm"})
	require.Equal(t, "a", d.Rule)
	require.False(t, d.Keyed || d.Unauthorised)
	require.True(t, s.Holds(nil, "farm"))
}

// Invalid organisations are rejected with messages that repeat no key, as an operator may have
// written one in place of its digest.
func TestInvalidOrganisations(t *testing.T) {
	digest := FormatDigest(testDigest(t, "k"))
	for organisations, message := range map[string]string{
		`7`: "must be a list",
		`[{"name": "a", "keys": ["` + digest + `"]}, {"name": "b", "keys": ["` + digest + `"]}]`: `belongs to "a" and "b"`,
		`[{"name": "a"}, {"name": "a"}]`:         "listed twice",
		`[{"name": "a", "keys": ["plain-key"]}]`: "key 1 must be sha256:",
		`[{"name": "a", "keys": ["sha256:12"]}]`: "key 1 must be sha256:",
		`[{"name": "a", "keys": [7]}]`:           "key 1 must be a string",
		`[{"name": "a", "keys": {}}]`:            "keys must be a list",
		`[{"name": "", "keys": []}]`:             "no name",
		`[{"keys": []}]`:                         `has no field "name"`,
		`[{"name": "a", "key": "plain-key"}]`:    `unknown field "key"`,
		`[{"name": "a", "priority": 5000}]`:      "priority must lie",
		`[{"name": "a\u0001"}]`:                  "printable",
	} {
		_, err := Parse([]byte(`{"organisations": `+organisations+`, "rules": []}`), KnownNames{})
		require.ErrorContains(t, err, message, organisations)
		require.NotContains(t, err.Error(), "plain-key")
	}
}

// Keys are changed in place: comments and the other rules stay.
func TestKeysAreEditedInPlace(t *testing.T) {
	added, err := AddKey(keyedDocument(t), "farm", testDigest(t, "second"))
	require.NoError(t, err)
	require.Contains(t, string(added), "// the callers")
	added, err = AddKey(added, "idle", testDigest(t, "third"))
	require.NoError(t, err)
	added, err = AddKey(added, "new", testDigest(t, "fourth"))
	require.NoError(t, err)
	list, err := Organisations(added)
	require.NoError(t, err)
	require.Len(t, list, 3)
	require.Len(t, list[0].Keys, 2)
	require.Len(t, list[1].Keys, 1)
	require.Equal(t, []apikey.Digest{testDigest(t, "fourth")}, list[2].Keys)

	removed, err := RemoveKey(added, "farm", testDigest(t, "k").Fingerprint())
	require.NoError(t, err)
	list, err = Organisations(removed)
	require.NoError(t, err)
	require.Equal(t, []apikey.Digest{testDigest(t, "second")}, list[0].Keys)
	_, err = RemoveKey(removed, "farm", testDigest(t, "k").Fingerprint())
	require.ErrorContains(t, err, "has no key")
	_, err = RemoveKey(removed, "nobody", "00000000")
	require.ErrorContains(t, err, "no organisation")

	first, err := AddKey([]byte(`{"rules": []}`), "farm", testDigest(t, "k"))
	require.NoError(t, err)
	list, err = Organisations(first)
	require.NoError(t, err)
	require.Len(t, list, 1)
}
