package load

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"tamarackchute/internal/settings"
	"tamarackchute/rolepolicy"
)

// Variant lists the changes to a deployment's settings for one experiment.
type Variant struct {
	// Network replaces the first two numbers of all addresses, as in "127.31".
	Network string
	// Scale is the factor by which role change times and deadlines are shortened.
	Scale float64
	// Policy and Picker replace the role policy and the routing unless empty.
	Policy string
	Picker string
	// ChangeWeight replaces the weight of role changes if above 0.
	ChangeWeight float64
	// Split sets the initial roles if its total is above 0.
	Split rolepolicy.Split
	// Schedule is the plan that the policy "schedule" follows.
	Schedule rolepolicy.Plan
}

// maxReportAgeFloor is the least max_picture_age_s of a scaled run, in seconds: the entries'
// statuses aren't sent any faster there.
const maxReportAgeFloor = 2

// Prepare writes a deployment's settings and rules with the variant's changes to a folder, and a
// new peer secret and operator token, the latter in the file operator.token. It returns the path
// of the settings.
func Prepare(d *settings.Deployment, v Variant, out string) (string, error) {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return "", eris.Wrap(err, "settings")
	}
	secret, token := randomSecret(), randomSecret()
	hash := sha256.Sum256([]byte(token))
	changed := *d
	changed.Security.PeerSecretFile = "peer.secret"
	changed.Security.Operators = []settings.Operator{{Name: "experiment", TokenSHA256: hex.EncodeToString(hash[:])}}
	changed.InitialRules = "rules.json"
	// Settings reject null, which is how a nil list would be encoded.
	changed.Upstreams = slices.Clone(d.Upstreams)
	for i := range changed.Upstreams {
		if changed.Upstreams[i].Models == nil {
			changed.Upstreams[i].Models = []string{}
		}
	}
	changed.Roles.Schedule = append([]settings.RoleStep{}, d.Roles.Schedule...)
	v.setRoles(&changed)
	if v.Picker != "" {
		changed.Routing.Picker = v.Picker
	}
	text, err := json.MarshalIndent(changed, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, "settings")
	}
	rules, err := v.scaledRules(d.InitialRules)
	if err != nil {
		return "", err
	}
	files := map[string]string{
		"settings.json": v.replaceNetwork(string(text)), "rules.json": rules,
		"peer.secret": secret, "operator.token": token,
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(out, name), []byte(content), 0o600); err != nil {
			return "", eris.Wrap(err, "settings")
		}
	}
	return filepath.Join(out, "settings.json"), nil
}

func randomSecret() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails, as crypto/rand documents
	return hex.EncodeToString(b)
}

// replaceNetwork moves all addresses to the variant's network.
func (v Variant) replaceNetwork(text string) string {
	if v.Network == "" {
		return text
	}
	for _, old := range []string{"127.11.", "127.12."} {
		text = strings.ReplaceAll(text, `"`+old, `"`+v.Network+".")
	}
	return text
}

func (v Variant) setRoles(d *settings.Deployment) {
	r := &d.Roles
	r.DwellSeconds /= v.Scale
	r.ChangeSeconds /= v.Scale
	r.MaxReportAgeSeconds = max(maxReportAgeFloor, r.MaxReportAgeSeconds/v.Scale)
	if v.Policy != "" {
		r.Policy = v.Policy
	}
	if v.ChangeWeight > 0 {
		r.ChangeWeight = v.ChangeWeight
	}
	for _, s := range v.Schedule {
		r.Schedule = append(r.Schedule, settings.RoleStep{
			AtUnixSeconds: float64(s.At.UnixMilli()) / 1000,
			Prefill:       s.Split.Prefill, Decode: s.Split.Decode, Mixed: s.Split.Mixed,
		})
	}
	if v.Split.Total() > 0 {
		v.setInitialRoles(d)
	}
}

// setInitialRoles sets the engines' initial roles to the split.
func (v Variant) setInitialRoles(d *settings.Deployment) {
	var engines []rolepolicy.Engine
	var indexes []int
	for i, u := range d.Upstreams {
		if u.Kind == settings.KindEngine {
			engines = append(engines, rolepolicy.Engine{Name: u.Name, DataCentre: u.DataCentre})
			indexes = append(indexes, i)
		}
	}
	for i, role := range v.Split.Assign(engines) {
		d.Upstreams[indexes[i]].Role = string(role)
	}
}

// scaledRules returns the initial rules with scaled deadlines.
func (v Variant) scaledRules(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "rules")
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return "", eris.Wrap(err, "rules")
	}
	var document struct {
		Rules []struct {
			Name string         `json:"name"`
			When string         `json:"when"`
			Then map[string]any `json:"then"`
		} `json:"rules"`
	}
	if err := json.Unmarshal(standard, &document); err != nil {
		return "", eris.Wrap(err, "rules")
	}
	for _, r := range document.Rules {
		if ms, ok := r.Then["deadline_ms"].(float64); ok {
			r.Then["deadline_ms"] = int(ms / v.Scale)
		}
	}
	scaled, err := json.MarshalIndent(document, "", "  ")
	return string(scaled), eris.Wrap(err, "rules")
}

// EngineCount returns the number of model engines of a deployment.
func EngineCount(d *settings.Deployment) int {
	n := 0
	for _, u := range d.Upstreams {
		if u.Kind == settings.KindEngine {
			n++
		}
	}
	return n
}
