package controller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/settings"
	"tamarackchute/internal/telemetry"
)

const testToken = "spring-lime-4711"

// The status shows who leads and which engine is about to change, so it needs a token.
// Probes and scrapers have none, so health and metrics stay open.
func TestStatusRequiresOperatorToken(t *testing.T) {
	hash := sha256.Sum256([]byte(testToken))
	var lines bytes.Buffer
	c := &Controller{cfg: Config{
		Deployment: &settings.Deployment{Security: settings.Security{
			Operators: []settings.Operator{{Name: "anna", TokenSHA256: hex.EncodeToString(hash[:])}},
		}},
		Metrics: &telemetry.Metrics{Page: telemetry.NewPage()},
	}, log: slog.New(slog.NewTextHandler(&lines, nil))}
	p := c.operatorServer()
	p.status = func() Status { return Status{Instance: "i1"} }
	p.ready = func() bool { return true }
	app := p.app()
	for _, step := range []struct {
		path, authorization string
		status              int
		want                string
	}{
		{"/status", "", 401, "a valid operator's token is needed"},
		{"/status", "Bearer " + testToken + "x", 401, "a valid operator's token is needed"},
		{"/status", "Basic " + testToken, 401, "a valid operator's token is needed"},
		{"/status", "Bearer " + testToken, 200, `"instance":"i1"`},
		{"/healthz", "", 200, "ok"},
		{"/readyz", "", 200, "ok"},
		{"/metrics", "", 200, ""},
	} {
		request := httptest.NewRequest(http.MethodGet, step.path, nil)
		request.Header.Set("Authorization", step.authorization)
		response, err := app.Test(request, -1)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, step.status, response.StatusCode, "%s %s", step.path, body)
		assert.Contains(t, string(body), step.want)
	}
	assert.Contains(t, lines.String(), "without a valid token")
	assert.NotContains(t, lines.String(), testToken)
}
