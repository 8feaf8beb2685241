package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/admission"
	"tamarackchute/apikey"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// keyedSet has one organisation, "farm", with the key "k".
func keyedSet(t *testing.T, keys ...string) *rules.Set {
	t.Helper()
	document := []byte(`{"organisations": [{"name": "farm"}], "rules": [
		{"name": "open", "when": "path == \"/open\"", "then": {"pool": "s", "public": true}},
		{"name": "calls", "when": "path startsWith \"/calls\"", "then": {"pool": "s"}},
		{"name": "models", "when": "true", "then": {"pool": "p"}}]}`)
	for _, key := range keys {
		digest, err := apikey.DigestOf(key)
		require.NoError(t, err)
		document, err = rules.AddKey(document, "farm", digest)
		require.NoError(t, err)
	}
	s, err := rules.Parse(document, rules.KnownNames{})
	require.NoError(t, err)
	return s
}

// Guards against requests without a valid key that run, keys that reach a service, and organisations
// that callers name themselves.
func TestKeysAreCheckedAndStayInside(t *testing.T) {
	service := &recordingService{calls: make(chan upstream.ServiceRequest, 8)}
	r := newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s1": service}, engines: map[string]*fakeEngine{"e": newEngine(2)}, set: keyedSet(t, "k")})
	for _, header := range [][]string{
		nil, {"Authorization", "Bearer other"}, {"Authorization", "k"}, {"OpenAI-Organization", "farm"},
	} {
		for _, path := range []string{"/calls/1", "/v1/completions"} {
			refused := r.post(t, path, `{"model": "m", "prompt": "x"}`, header...)
			require.Equal(t, http.StatusUnauthorized, refused.StatusCode)
			require.Equal(t, string(outcome.NotRun), refused.Header.Get(outcome.Header))
			require.NotContains(t, readBody(t, refused), "other")
		}
	}
	require.Empty(t, service.calls)

	done := r.post(t, "/calls/1", "x", "Authorization", "Bearer k", "OpenAI-Organization", "another")
	require.Equal(t, 201, done.StatusCode)
	sent := <-service.calls
	require.Equal(t, []string{"farm"}, valuesOf(sent, "Openai-Organization"))
	require.Empty(t, valuesOf(sent, "Authorization"))

	open := r.post(t, "/open", "x", "Authorization", "Bearer other", "OpenAI-Organization", "farm")
	require.Equal(t, 201, open.StatusCode)
	sent = <-service.calls
	require.Empty(t, valuesOf(sent, "Openai-Organization"))
	require.Empty(t, valuesOf(sent, "Authorization"))

	require.Equal(t, http.StatusOK, r.post(t, "/v1/completions", `{"model": "m", "prompt": "x"}`, "Authorization", "Bearer k").StatusCode)
}

func valuesOf(r upstream.ServiceRequest, name string) []string {
	var values []string
	for _, h := range r.Headers {
		if http.CanonicalHeaderKey(h.Name) == name {
			values = append(values, h.Value)
		}
	}
	return values
}

// Guards against keys that an instance uses although it may have missed their removal.
func TestStaleKeysAreNotUsed(t *testing.T) {
	service := &recordingService{calls: make(chan upstream.ServiceRequest, 8)}
	r := newHarness(t, &fakeDeps{services: map[string]upstream.Service{"s1": service}, set: keyedSet(t, "k")})
	r.keysStale.Store(true)
	refused := r.post(t, "/calls/1", "x", "Authorization", "Bearer k")
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.Equal(t, 201, r.post(t, "/open", "x").StatusCode)
	require.Len(t, service.calls, 1)
}

// Guards against a request whose key was removed while it waited for admission.
func TestKeyRemovedDuringTheWait(t *testing.T) {
	for _, path := range []string{"/calls/1", "/v1/completions"} {
		t.Run(path, func(t *testing.T) {
			service, engine := &recordingService{calls: make(chan upstream.ServiceRequest, 8)}, newEngine(2)
			deps := &fakeDeps{services: map[string]upstream.Service{"s1": service}, engines: map[string]*fakeEngine{"e": engine}, set: keyedSet(t, "k")}
			removed := keyedSet(t)
			deps.admitted = func(admission.Request) { deps.set = removed }
			r := newHarness(t, deps)
			refused := r.post(t, path, `{"model": "m", "prompt": "x"}`, "Authorization", "Bearer k")
			require.Equal(t, http.StatusUnauthorized, refused.StatusCode)
			require.Equal(t, string(outcome.NotRun), refused.Header.Get(outcome.Header))
			require.Empty(t, service.calls)
			require.Empty(t, engine.requests)
		})
	}
}
