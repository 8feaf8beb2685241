package operator_test

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v2"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/operator/api"
	"tamarackchute/internal/operator/operatortest"
	"tamarackchute/journal/journaltest"
	"tamarackchute/rules"
)

const (
	validRule   = `{"rules": [{"name": "a", "when": "stream", "then": {"pool": "agronomy"}}]} // é`
	otherRule   = `{"rules": [{"name": "a", "when": "!stream", "then": {"pool": "booking"}}]}`
	invalidRule = `{"rules": [{"name": "a", "when": "strem", "then": {"pool": "agronomy"}}]}`
)

// call sends one request and returns the response's status and body.
func call(t *testing.T, app *fiber.App, method, path, token string, body any) (int, string) {
	data, err := json.Marshal(body)
	require.NoError(t, err)
	request := httptest.NewRequest(method, path, bytes.NewReader(data))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := app.Test(request, -1)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

func TestCallsAndReplies(t *testing.T) {
	log := journaltest.NewLog()
	i := operatortest.Start(log, "c1", slog.New(slog.DiscardHandler))
	defer i.Stop()
	v1, v2 := rules.Version{Offset: 1}, rules.Version{Offset: 2}
	digest := strings.Repeat("0f", 16)
	for _, step := range []struct {
		name, method, path string
		body               any
		status             int
		want               string
	}{
		{"no rules yet", "GET", api.PathRules, nil, 200, `"version":"none"`},
		{"first", "PUT", api.PathRules, api.PublishRequest{ID: "p1", Document: validRule, Note: "n"}, 200, `"version":"1.0"`},
		{"sent again", "PUT", api.PathRules, api.PublishRequest{ID: "p1", Document: validRule}, 200, `"version":"1.0"`},
		{"read", "GET", api.PathRules, nil, 200, `"version":"1.0","author":"anna","note":"n"`},
		{"old base", "PUT", api.PathRules, api.PublishRequest{Document: otherRule}, 409, `"kind":"changed","rule":"a"`},
		{"faulty", "PUT", api.PathRules, api.PublishRequest{Base: v1, Document: invalidRule}, 422, `"line":1,"column":35,"rule":"a","message":"when: unknown name strem"`},
		{"valid", "POST", api.PathValidate, api.ValidateRequest{Document: validRule}, 200, `{"problems":[]}`},
		{"invalid", "POST", api.PathValidate, api.ValidateRequest{Document: "{"}, 422, `"line":1`},
		{"no JSON", "PUT", api.PathRules, 3, 400, `the body is no publication`},
		{"no version", "PUT", api.PathRules, map[string]string{"base": "x"}, 400, `is no version`},
		{"second", "PUT", api.PathRules, api.PublishRequest{Base: v2, Document: otherRule}, 409, `"current":"1.0"`},
		{"history", "GET", api.PathHistory + "?n=2", nil, 200, `"outcome":"conflict"`},
		{"audit", "GET", api.PathAudit, nil, 200, `"who":"anna","what":"rules published","target":"rules 1.0","reason":"n","from":"none","to":"1.0"`},
		{"status", "GET", api.PathStatus, nil, 200, `"in_force":"1.0","accepted":"1.0","settled":true`},
		{"release", "POST", api.PathQuarantineRelease, api.ReleaseRequest{Digest: digest, Reason: "fixed"}, 204, ``},
		{"released", "GET", api.PathAudit, nil, 200, `"what":"quarantine released","target":"` + digest + `","reason":"fixed"`},
		{"no digest", "POST", api.PathQuarantineRelease, api.ReleaseRequest{Reason: "x"}, 400, `error`},
		{"no reason", "POST", api.PathQuarantineRelease, api.ReleaseRequest{Digest: digest}, 400, `needs a reason`},
	} {
		status, body := call(t, i.App, step.method, step.path, operatortest.Token, step.body)
		require.Equal(t, step.status, status, "%s: %s", step.name, body)
		require.Contains(t, body, step.want, step.name)
	}
	log.Outage(true)
	status, body := call(t, i.App, "PUT", api.PathRules, operatortest.Token, api.PublishRequest{Base: v1, Document: otherRule})
	require.Equal(t, 503, status, body)
	require.Contains(t, body, "not published")
}

// A route that works without a token, or a token in a log file, gives access to the rules.
// Each route must refuse, and the log must record the attempt without the token.
func TestEveryRouteRequiresTokenAndLogsNone(t *testing.T) {
	var lines bytes.Buffer
	i := operatortest.Start(journaltest.NewLog(), "c1", slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: slog.LevelDebug})))
	routes := 0
	for _, route := range i.App.GetRoutes() {
		if route.Method == http.MethodHead {
			continue
		}
		routes++
		for _, token := range []string{"", operatortest.Token + "x", "wrong-secret"} {
			status, body := call(t, i.App, route.Method, route.Path, token, nil)
			require.Equal(t, 401, status, "%s %s", route.Method, route.Path)
			require.NotContains(t, body, "secret")
		}
	}
	require.Equal(t, 8, routes)
	call(t, i.App, "PUT", api.PathRules, operatortest.Token, api.PublishRequest{Document: validRule})
	call(t, i.App, "PUT", api.PathRules, operatortest.Token, api.PublishRequest{Document: invalidRule})
	i.Stop()
	require.Contains(t, lines.String(), "without a valid token")
	require.NotContains(t, lines.String(), "secret")
	require.NotContains(t, lines.String(), operatortest.Token)
}

// If the log was in use before this system, the history of protected calls has a gap that
// no checkpoint closes, and plain keys are refused until an operator accepts it. The audit
// trail must record who accepted it and why.
func TestAcceptedGapIsAudited(t *testing.T) {
	log := journaltest.NewLog()
	log.Put([]byte("expired"))
	log.Trim(2)
	i := operatortest.Start(log, "c1", slog.New(slog.DiscardHandler))
	defer i.Stop()
	for _, step := range []struct {
		name, method, path string
		body               any
		status             int
		want               string
	}{
		{"gap", "GET", api.PathStatus, nil, 200, `"claims":{"history_complete":false,"keys":0}`},
		{"no reason", "POST", api.PathAcceptGap, api.AcceptGapRequest{}, 400, `needs a reason`},
		{"no JSON", "POST", api.PathAcceptGap, 3, 400, `error`},
		{"nothing done", "GET", api.PathAudit, nil, 200, `{"records":[]}`},
		{"accepted", "POST", api.PathAcceptGap, api.AcceptGapRequest{Reason: "first start"}, 204, ``},
		{"complete", "GET", api.PathStatus, nil, 200, `"claims":{"history_complete":true`},
		{"on record", "GET", api.PathAudit, nil, 200, `"who":"anna","what":"claim gap accepted","target":"claims","reason":"first start"`},
		{"again", "POST", api.PathAcceptGap, api.AcceptGapRequest{Reason: "x"}, 409, `no gap to accept`},
	} {
		status, body := call(t, i.App, step.method, step.path, operatortest.Token, step.body)
		require.Equal(t, step.status, status, "%s: %s", step.name, body)
		require.Contains(t, body, step.want, step.name)
	}
}

// While the log is down or doesn't answer, the operator must not be told that the gap was
// accepted.
func TestGapNotAcceptedWithoutLog(t *testing.T) {
	log := journaltest.NewLog()
	log.Put([]byte("expired"))
	log.Trim(2)
	i := operatortest.Start(log, "c1", slog.New(slog.DiscardHandler))
	defer i.Stop()
	log.Outage(true)
	status, body := call(t, i.App, "POST", api.PathAcceptGap, operatortest.Token, api.AcceptGapRequest{Reason: "x"})
	require.Equal(t, 503, status, body)
	require.Contains(t, body, "not accepted")
	log.Outage(false)
	log.Hang(true)
	status, body = call(t, i.App, "POST", api.PathAcceptGap, operatortest.Token, api.AcceptGapRequest{Reason: "x"})
	require.Equal(t, 504, status, body)
}
