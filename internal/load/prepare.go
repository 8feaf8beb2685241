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

// Variant says how a deployment's settings are changed for one experiment.
type Variant struct {
	// Network replaces the first two numbers of all addresses, as in "127.31".
	Network string
	// Scale shortens the times that belong to a shift.
	Scale float64
	// Policy and Picker replace the role policy and the routing if set.
	Policy string
	Picker string
	// ChangeWeight replaces the weight if above 0.
	ChangeWeight float64
	// Split sets the roles at the start if its total is above 0.
	Split rolepolicy.Split
	// Schedule is followed by the policy "schedule".
	Schedule rolepolicy.Plan
}

// leastPictureAge is the oldest demand that a scaled run still acts on, in
// seconds: the entries' statuses are not sent any faster there.
const leastPictureAge = 2

// Prepare writes a deployment's settings and rules, changed as the variant
// says, with a peer secret and an operator's token of their own, to a folder.
// The token is in the file operator.token. It returns the settings' path.
func Prepare(d *settings.Deployment, v Variant, out string) (string, error) {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return "", eris.Wrap(err, "settings")
	}
	secret, token := randomHex(), randomHex()
	hash := sha256.Sum256([]byte(token))
	changed := *d
	changed.Security.PeerSecretFile = "peer.secret"
	changed.Security.Operators = []settings.Operator{{Name: "experiment", TokenSHA256: hex.EncodeToString(hash[:])}}
	changed.InitialRules = "rules.json"
	// A missing list is written as null, which the settings don't take.
	changed.Upstreams = slices.Clone(d.Upstreams)
	for i := range changed.Upstreams {
		if changed.Upstreams[i].Models == nil {
			changed.Upstreams[i].Models = []string{}
		}
	}
	changed.Roles.Schedule = append([]settings.RoleStep{}, d.Roles.Schedule...)
	v.roles(&changed)
	if v.Picker != "" {
		changed.Routing.Picker = v.Picker
	}
	text, err := json.MarshalIndent(changed, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, "settings")
	}
	rules, err := v.rules(d.InitialRules)
	if err != nil {
		return "", err
	}
	files := map[string]string{
		"settings.json": v.moved(string(text)), "rules.json": rules,
		"peer.secret": secret, "operator.token": token,
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(out, name), []byte(content), 0o600); err != nil {
			return "", eris.Wrap(err, "settings")
		}
	}
	return filepath.Join(out, "settings.json"), nil
}

func randomHex() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails, by the library's contract
	return hex.EncodeToString(b)
}

// moved puts all addresses into another network.
func (v Variant) moved(text string) string {
	if v.Network == "" {
		return text
	}
	for _, old := range []string{"127.11.", "127.12."} {
		text = strings.ReplaceAll(text, `"`+old, `"`+v.Network+".")
	}
	return text
}

func (v Variant) roles(d *settings.Deployment) {
	r := &d.Roles
	r.DwellSeconds /= v.Scale
	r.ChangeSeconds /= v.Scale
	r.MaxReportAgeSeconds = max(leastPictureAge, r.MaxReportAgeSeconds/v.Scale)
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
		v.initial(d)
	}
}

// initial sets the engines' roles at the start as the split says.
func (v Variant) initial(d *settings.Deployment) {
	var engines []rolepolicy.Engine
	var places []int
	for i, u := range d.Upstreams {
		if u.Kind == settings.KindEngine {
			engines = append(engines, rolepolicy.Engine{Name: u.Name, DataCentre: u.DataCentre})
			places = append(places, i)
		}
	}
	for i, role := range v.Split.Assign(engines) {
		d.Upstreams[places[i]].Role = string(role)
	}
}

// rules returns the initial rules with scaled deadlines.
func (v Variant) rules(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "rules")
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return "", eris.Wrap(err, "rules")
	}
	var doc struct {
		Rules []struct {
			Name string         `json:"name"`
			When string         `json:"when"`
			Then map[string]any `json:"then"`
		} `json:"rules"`
	}
	if err := json.Unmarshal(plain, &doc); err != nil {
		return "", eris.Wrap(err, "rules")
	}
	for _, r := range doc.Rules {
		if ms, ok := r.Then["deadline_ms"].(float64); ok {
			r.Then["deadline_ms"] = int(ms / v.Scale)
		}
	}
	scaled, err := json.MarshalIndent(doc, "", "  ")
	return string(scaled), eris.Wrap(err, "rules")
}

// Engines returns how many model engines a deployment has.
func Engines(d *settings.Deployment) int {
	n := 0
	for _, u := range d.Upstreams {
		if u.Kind == settings.KindEngine {
			n++
		}
	}
	return n
}
