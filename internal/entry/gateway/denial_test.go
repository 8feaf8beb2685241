package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/freshness"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Guards against a request that is refused for good by rules of which the instance can't know that they
// are the newest. What they allow it serves on.
func TestRulesOfUnknownAgeDenyNothing(t *testing.T) {
	const bound = 10 * time.Second
	set, err := rules.Parse([]byte(`{"rules": [
		{"name": "calls", "when": "path startsWith \"/calls\"", "then": {"pool": "s"}},
		{"name": "closed", "when": "path == \"/closed\"", "then": {"refuse": {"status": 403, "reason": "closed"}}},
		{"name": "busy", "when": "path == \"/busy\"", "then": {"refuse": {"status": 429, "reason": "busy"}}}]}`), rules.KnownNames{})
	require.NoError(t, err)
	deps := &fakeDeps{services: map[string]upstream.Service{"s1": &recordingService{calls: make(chan upstream.ServiceRequest, 8)}}, set: set}
	r := newHarness(t, deps, func(o *gateway.Options) { o.RulesLimit = freshness.NewLimit(bound) })
	status := func(path string) int { return r.post(t, path, "x").StatusCode }

	require.Equal(t, http.StatusNotFound, status("/none"))
	require.Equal(t, http.StatusForbidden, status("/closed"))
	deps.rulesAge.Store(int64(bound))
	for _, path := range []string{"/none", "/closed"} {
		withheld := r.post(t, path, "x")
		require.Equal(t, http.StatusServiceUnavailable, withheld.StatusCode)
		require.NotEmpty(t, withheld.Header.Get("Retry-After"))
		require.Equal(t, string(outcome.NotRun), withheld.Header.Get(outcome.Header))
	}
	require.Equal(t, http.StatusTooManyRequests, status("/busy"), "it may come back")
	require.Equal(t, 201, status("/calls/1"))
}

// Guards against a caller that is told that its key isn't valid by an instance that may have missed it.
func TestRulesOfUnknownAgeDenyNoKey(t *testing.T) {
	deps := &fakeDeps{services: map[string]upstream.Service{"s1": &recordingService{calls: make(chan upstream.ServiceRequest, 8)}}, set: keyedSet(t, "k")}
	r := newHarness(t, deps, func(o *gateway.Options) { o.RulesLimit = freshness.NewLimit(time.Second) })
	require.Equal(t, http.StatusUnauthorized, r.post(t, "/calls/1", "x").StatusCode)
	deps.rulesAge.Store(int64(time.Minute))
	require.Equal(t, http.StatusServiceUnavailable, r.post(t, "/calls/1", "x").StatusCode)
}

// Guards against an instance that refuses a forwarded request as its rules are older, and goes on
// denying its own callers' requests by them.
func TestForwardedRequestNamesNewerRules(t *testing.T) {
	r := newHarness(t, modelDeps(newEngine(3), &fakeForwarder{}))
	r.then = rules.Then{Refuse: &rules.Refusal{Status: http.StatusForbidden, Reason: "closed"}}
	require.Equal(t, http.StatusForbidden, r.post(t, "/calls/1", "x").StatusCode)
	forwarded, err := http.NewRequest(http.MethodPost, "http://"+r.forwardedAddress(t)+"/v1/completions", nil)
	require.NoError(t, err)
	forwarded.Header.Set("Chute-Forwarded", "9.0")
	response, err := http.DefaultClient.Do(forwarded)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, r.post(t, "/calls/1", "x").StatusCode)
}

// Guards against a request that is run by rules which other instances have long replaced: one of them
// serves it, or it is refused.
func TestOverdueRulesRunNothing(t *testing.T) {
	const bound = 100 * time.Millisecond
	engine, own := newEngine(3), newEngine(3)
	newer := modelDeps(engine, &fakeForwarder{})
	newer.version = rules.Version{Offset: 9}
	b := newHarness(t, newer)
	f := &fakeForwarder{}
	a := newHarness(t, modelDeps(own, f), func(o *gateway.Options) { o.RulesLimit = freshness.NewLimit(bound) })
	require.Equal(t, http.StatusOK, a.post(t, "/v1/completions", forwardBody).StatusCode)
	require.Len(t, own.seen(), 1)

	address := a.forwardedAddress(t)
	name := func() int {
		forwarded, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(forwardBody))
		require.NoError(t, err)
		forwarded.Header.Set("Content-Type", "application/json")
		forwarded.Header.Set("Chute-Forwarded", "9.0")
		response, err := http.DefaultClient.Do(forwarded)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	require.Equal(t, http.StatusServiceUnavailable, name())
	time.Sleep(bound)
	require.Equal(t, http.StatusServiceUnavailable, name())
	refused := a.post(t, "/v1/completions", forwardBody)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.Len(t, own.seen(), 1)

	f.peers = []*fakePeer{newPeer(b.forwardedAddress(t))}
	require.Equal(t, http.StatusOK, a.post(t, "/v1/completions", forwardBody).StatusCode)
	require.Len(t, engine.seen(), 1)
	require.Len(t, own.seen(), 1)
}
