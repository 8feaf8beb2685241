package rules

import (
	"fmt"
	"strings"
	"testing"

	"github.com/expr-lang/expr/vm"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testKnown = KnownNames{
	Pools:       []string{"agronomy", "booking"},
	Models:      []string{"soil", "slips"},
	DataCentres: []string{"cesis-a", "valmiera-b"},
}

// rule returns one rule as JSON on one line.
func rule(name, when, then string) string {
	return fmt.Sprintf(`{"name": %q, "when": "%s", "then": {%s}}`, name, strings.ReplaceAll(when, `"`, `\"`), then)
}

func document(rules ...string) []byte {
	return []byte("{\"rules\": [\n" + strings.Join(rules, ",\n") + ",\n]}")
}

const toAgronomy = `"pool": "agronomy"`

// Each expected problem is the text at its position, and the message.
func TestParseReportsPositionOfEachFault(t *testing.T) {
	cases := []struct {
		name, document string
		want           [][2]string
	}{
		{"no JSON", "{\n \"rules\": [}", [][2]string{{"}", "invalid character '}' at start of value"}}},
		{"no list", `{"rule": []}`, [][2]string{
			{"{", `the document has no field "rules"`}, {`"rule"`, `unknown field "rule" in the document`}}},
		{"wrong types", `{"rules": [{"name": 3, "when": true, "then": {"pool": "booking", "priority": "high"}}]}`, [][2]string{
			{"3", "name must be a string"}, {"true", "when must be a string"}, {`"high"`, "priority must be a whole number"}}},
		{"several at once", string(document(
			rule("a", `modle == "soil"`, toAgronomy),
			rule("a", `path == "/é\u00e9" && load > "x"`, `"pool": "agronomie", "polo": 1`))), [][2]string{
			{"modle", "when: unknown name modle"},
			{`{"name": "a", "when": "path`, "the name is taken by the rule at line 2"},
			{`> \"x`, "when: invalid operation: > (mismatched types float64 and string)"},
			{`"polo"`, `unknown field "polo" in then`}}},
		{"unknown names", string(document(
			rule("a", `data_centre in ["cesis-a", "cesis"]`, `"pool": "agronomie"`),
			rule("gone", `model == "old"`, `"refuse": {"status": 410, "reason": "gone"}`),
			rule("b", `model == "old" and stream`, toAgronomy))), [][2]string{
			{"in [", `unknown data_centre "cesis"; known: cesis-a, valmiera-b`},
			{`"agronomie"`, `unknown pool "agronomie"; known: agronomy, booking`},
			{`{"name": "b"`, `never reached: rule "gone" at line 3 holds first`},
			{`== \"old\" and`, `unknown model "old"; known: soil, slips`}}},
		{"contradictions", string(document(
			rule("a", `stream`, `"protected": true, "retry": "repeatable", "pool": "booking", "deadline_ms": 0`),
			rule("b", `load > 1`, `"refuse": {"status": 200}, "limit": {"per": "me"}`))), [][2]string{
			{`"repeatable"`, "a protected call runs at most once, so it can't be repeatable"},
			{"0}", "deadline_ms must lie between 1 and 86400000"},
			{`{"refuse"`, "refuse has no reason"},
			{"200", "status must lie between 400 and 599"},
			{`{"per"`, "contradictory: a request that is refused can't have limit"},
			{`{"per"`, "limit has neither requests_per_s nor concurrent above 0"},
			{`"me"`, `unknown scope "me"; known: organisation, all`}}},
		{"unbounded cost", string(document(
			rule("a", `any(1..1000, # > 3)`, toAgronomy),
			rule("b", `all(["x"], # == path)`, toAgronomy),
			rule("c", `header(path) == ""`, toAgronomy),
			rule("d", `path matches model`, toAgronomy),
			rule("e", `now() != nil`, toAgronomy))), [][2]string{
			{"..", "when: ranges can't be used in a condition"},
			{"# ==", "when: predicates can't be used in a condition"},
			{"header", "when: header takes one name as a string literal"},
			{"matches", "when: matches takes its pattern as a string literal"},
			{"now", "when: unknown name now"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.document), testKnown)
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Len(t, invalid.Problems, len(c.want), "%v", err)
			lines := strings.Split(c.document, "\n")
			for i, p := range invalid.Problems {
				require.Equal(t, c.want[i][1], p.Message)
				text := string([]rune(lines[p.Line-1])[p.Column-1:])
				require.True(t, strings.HasPrefix(text, c.want[i][0]), "%s: points at %s", p, text)
			}
		})
	}
}

func TestReachability(t *testing.T) {
	cases := []struct {
		first, second string
		reached       bool
	}{
		{`true`, `stream`, false},
		{`1 + 1 == 2`, `stream`, false},
		{`stream`, `model == "a" and not (model != "b")`, false},
		{`model == "soil" && stream`, `stream and "soil" == model`, false},
		{`model in ["soil", "slips"]`, `model == "soil" && load > 2`, false},
		{`stream || load > 1`, `load > 2`, false},
		{`header("X-Rush") == "1"`, `header("x-rush") == "1"`, false},
		{`prompt_tokens > 100`, `not (prompt_tokens <= 200)`, false},
		{`stream ? load > 1 : load > 2`, `load > 3 && stream`, false},
		{`prompt_tokens > 200`, `prompt_tokens > 100`, true},
		{`load > 1`, `not (load <= 1)`, true},
		{`100 % output_tokens == 0 || stream`, `stream`, true},
		{`model == "soil" && stream`, `model == "soil"`, true},
	}
	for _, c := range cases {
		_, err := Parse(document(rule("1", c.first, toAgronomy), rule("2", c.second, toAgronomy)), KnownNames{})
		if c.reached {
			require.NoError(t, err, "%s, then %s", c.first, c.second)
		} else {
			require.ErrorContains(t, err, "never reached", "%s, then %s", c.first, c.second)
		}
	}
}

func TestFirstMatchDecides(t *testing.T) {
	s, err := Parse(document(
		rule("broken", `100 % output_tokens == 7`, toAgronomy),
		rule("rush", `header("X-Rush") == "1" && path startsWith "/v1/"`, `"pool": "agronomy", "priority": 5`),
		rule("book", `path == "/book" && method == "POST"`, `"pool": "booking", "protected": true, "deadline_ms": 1500`),
		rule("full", `load >= 1.5 || model not in ["soil"]`, `"refuse": {"status": 429, "reason": "full"}`),
	), testKnown)
	require.NoError(t, err)
	rush := func(name string) string { return map[string]string{"x-rush": "1"}[name] }
	for _, c := range []struct {
		request Request
		want    string
	}{
		{Request{Path: "/v1/chat", Header: rush, Model: "soil"}, "rush"},
		{Request{Path: "/book", Method: "POST", Header: rush}, "book"},
		{Request{Path: "/book", Method: "GET", Model: "soil", Load: 1.5}, "full"},
		{Request{Path: "/book", Method: "GET", Model: "soil"}, ""},
	} {
		d := s.Match(c.request)
		require.Equal(t, c.want, d.Rule)
		require.Equal(t, c.want != "", d.Matched)
	}
	require.Equal(t, uint64(4), s.Failures(), "the division by zero counts as no match, each time")
	require.Equal(t, &Refusal{Status: 404, Reason: "no rule matches"}, s.Match(Request{Model: "soil"}).Then.Refuse)
}

// The guards decide most conditions instead of the evaluator, so both must agree.
func TestGuardsAgreeWithTheEvaluator(t *testing.T) {
	atoms := []string{
		`model == "a"`, `"b" != model`, `path in ["a", "b"]`, `not (path in ["a"])`, `prompt_tokens > 1`,
		`2 >= prompt_tokens`, `output_tokens < 1`, `not (output_tokens <= 1)`, `load > 0.5`, `not (load > 0.5)`,
		`stream`, `!stream`, `header("h") == "a"`, `organisation contains "a"`, `load < -1`, `100 % prompt_tokens == 0`,
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"", "a", "b"})
		operator := rapid.SampledFrom([]string{") && (", ") || (", ") and not ("}).Draw(t, "operator")
		when := "(" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(atoms), 1, 4).Draw(t, "atoms"), operator) + ")"
		program, f, fault := compileCondition(conditionConfig(), when)
		require.Nil(t, fault)
		r := Request{
			Model: text.Draw(t, "model"), Path: text.Draw(t, "path"), Organisation: text.Draw(t, "organisation"),
			PromptTokens: rapid.IntRange(0, 3).Draw(t, "prompt"), OutputTokens: rapid.IntRange(0, 3).Draw(t, "output"),
			Load: rapid.Float64Range(0, 1).Draw(t, "load"), Stream: rapid.Bool().Draw(t, "stream"),
		}
		result, err := new(vm.VM).Run(program, newEnvironment(&r))
		want := err == nil && result.(bool)
		guards, complete := newGuards(f)
		guarded := (&compiledRule{guards: guards}).guardsHold(&r)
		if complete {
			require.Equal(t, want, guarded)
		}
		require.False(t, want && !guarded, "the guards reject a condition that holds")
		require.False(t, want && f.neverHolds())
		if err == nil {
			require.False(t, !want && f.alwaysHolds())
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(document(rule("a", `model == "soil" && load > 1`, toAgronomy)))
	f.Add([]byte(`{"rules": [{"name": "\ud83d\ude00", "when": "\u00e9 \n x", "then": {"refuse": {}}}, null, 1]} // c`))
	f.Fuzz(func(t *testing.T, src []byte) {
		s, err := Parse(src, testKnown)
		if err == nil {
			s.Match(Request{Path: "/"})
			return
		}
		for _, p := range err.(*InvalidError).Problems {
			if p.Line < 1 || p.Column < 1 || p.Message == "" {
				t.Fatalf("no position or message: %+v", p)
			}
		}
	})
}
