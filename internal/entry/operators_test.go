package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/operator/api"
	"tamarackchute/internal/settings"
	"tamarackchute/rules"
)

// A deployment of plain services has no models. Guards against an entry whose list of
// known models is nil, which turns the check off: it accepted a rule on an unknown
// model that "chutectl rules validate -local" refused.
func TestEntryAndChutectlCheckTheSameNames(t *testing.T) {
	d, err := settings.Load("../../deploy/kalku-rinda/settings.json")
	require.NoError(t, err)
	var services []settings.Upstream
	for _, u := range d.Upstreams {
		if u.Kind == settings.KindService {
			services = append(services, u)
		}
	}
	d.Upstreams = services
	token := sha256.Sum256([]byte("token"))
	d.Security.Operators = []settings.Operator{{Name: "anna", TokenSHA256: hex.EncodeToString(token[:])}}
	document := `{"rules": [{"name": "a", "when": "model == \"soil\"", "then": {"pool": "` + services[0].Pool + `"}}]}`
	_, err = rules.Parse([]byte(document), api.KnownNames(d))
	require.ErrorContains(t, err, "soil")

	e := &Entry{cfg: Config{Deployment: d}}
	body, err := json.Marshal(api.ValidateRequest{Document: document})
	require.NoError(t, err)
	request := httptest.NewRequest(http.MethodPost, api.PathValidate, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer token")
	response, err := e.operatorsApp().Test(request, -1)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusUnprocessableEntity, response.StatusCode)
}
