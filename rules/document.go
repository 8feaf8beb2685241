package rules

import (
	"encoding/json"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Limits of a document, which bound the cost of a match. maxCompressedBytes keeps
// a document within one record of the log.
const (
	MaxDocumentBytes  = 256 << 10
	MaxRules          = 1000
	MaxConditionBytes = 4 << 10
)

// ruleSource is a parsed rule with the offsets of its parts in the document.
type ruleSource struct {
	rule Rule
	// at is the offset of the rule, when that of the condition's literal, and
	// raw the bytes of that literal.
	at   int
	when int
	raw  []byte
	// complete is false if a field is missing or has the wrong type.
	complete bool
	// then holds the offset of each field of the consequence that is present.
	then   map[string]int
	thenAt int
}

var hujsonPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// decode parses the document's structure and reports fields that are unknown,
// missing, duplicated or of the wrong type. It sets the organisations of s.
func decode(c *collector, s *Set) []ruleSource {
	if len(c.src) > MaxDocumentBytes {
		c.add(0, "", "the document has %d bytes, more than %d", len(c.src), MaxDocumentBytes)
		return nil
	}
	value, err := parseDocument(c.src)
	if err != nil {
		c.addSyntax(err)
		return nil
	}
	var list *hujson.Value
	d := decoder{c: c}
	d.object(&value, "the document", map[string]fieldSpec{
		"rules":         {required: true, read: func(v *hujson.Value) { list = v }},
		"organisations": {read: func(v *hujson.Value) { s.keys = decodeOrganisations(c, v) }},
	})
	if list == nil {
		return nil
	}
	array, ok := list.Value.(*hujson.Array)
	if !ok {
		c.add(list.StartOffset, "", "rules must be a list")
		return nil
	}
	if len(array.Elements) > MaxRules {
		c.add(list.StartOffset, "", "%d rules, more than %d", len(array.Elements), MaxRules)
		return nil
	}
	sources := make([]ruleSource, 0, len(array.Elements))
	for i := range array.Elements {
		sources = append(sources, decodeRule(c, &array.Elements[i]))
	}
	return sources
}

// parseDocument appends a newline, as the parser rejects a line comment at the
// end of the input without one.
func parseDocument(src []byte) (hujson.Value, error) {
	return hujson.Parse(slices.Concat(src, []byte("\n")))
}

func (c *collector) addSyntax(err error) {
	m := hujsonPosition.FindStringSubmatch(err.Error())
	if m == nil {
		c.add(0, "", "%v", err)
		return
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	offset := 0
	for range line - 1 {
		offset += strings.IndexByte(string(c.src[offset:]), '\n') + 1
	}
	c.add(offset+column-1, "", "%s", m[3])
}

func decodeRule(c *collector, v *hujson.Value) ruleSource {
	s := ruleSource{at: v.StartOffset, when: v.StartOffset, thenAt: v.StartOffset, then: map[string]int{}}
	d := decoder{c: c}
	first := len(c.problems)
	d.object(v, "a rule", map[string]fieldSpec{
		"name": {required: true, read: func(v *hujson.Value) { d.value(v, "name", &s.rule.Name) }},
		"when": {required: true, read: func(v *hujson.Value) {
			d.value(v, "when", &s.rule.When)
			s.when = v.StartOffset
			s.raw = c.src[v.StartOffset:v.EndOffset]
		}},
		"then": {required: true, read: func(v *hujson.Value) { s.decodeThen(&d, v) }},
	})
	s.complete = d.failed == 0
	for i := first; i < len(c.problems); i++ {
		c.problems[i].Rule = s.rule.Name
	}
	return s
}

func (s *ruleSource) decodeThen(d *decoder, v *hujson.Value) {
	s.thenAt = v.StartOffset
	t := &s.rule.Then
	recorded := func(name string, read func(v *hujson.Value)) fieldSpec {
		return fieldSpec{read: func(v *hujson.Value) {
			s.then[name] = v.StartOffset
			read(v)
		}}
	}
	field := func(name string, into any) fieldSpec {
		return recorded(name, func(v *hujson.Value) { d.value(v, name, into) })
	}
	d.object(v, "then", map[string]fieldSpec{
		"pool":        field("pool", &t.Pool),
		"priority":    field("priority", &t.Priority),
		"deadline_ms": field("deadline_ms", &t.DeadlineMillis),
		"protected":   field("protected", &t.Protected),
		"public":      field("public", &t.Public),
		"retry":       field("retry", &t.Retry),
		"class":       field("class", &t.Class),
		"refuse": recorded("refuse", func(v *hujson.Value) {
			t.Refuse = &Refusal{}
			d.object(v, "refuse", map[string]fieldSpec{
				"status": field("status", &t.Refuse.Status),
				"reason": field("reason", &t.Refuse.Reason),
			})
		}),
		"limit": recorded("limit", func(v *hujson.Value) {
			t.Limit = &Limit{}
			d.object(v, "limit", map[string]fieldSpec{
				"requests_per_s": field("requests_per_s", &t.Limit.RequestsPerSecond),
				"concurrent":     field("concurrent", &t.Limit.Concurrent),
				"per":            field("per", &t.Limit.Per),
			})
		}),
	})
}

// fieldSpec describes how a field of an object is decoded.
type fieldSpec struct {
	required bool
	read     func(v *hujson.Value)
}

type decoder struct {
	c      *collector
	failed int
}

func (d *decoder) fail(offset int, format string, args ...any) {
	d.failed++
	d.c.add(offset, "", format, args...)
}

// object decodes an object's fields and reports those that aren't in the table.
func (d *decoder) object(v *hujson.Value, what string, specs map[string]fieldSpec) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(v.StartOffset, "%s must be an object", what)
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		spec, known := specs[name]
		switch {
		case !known:
			d.fail(m.Name.StartOffset, "unknown field %q in %s", name, what)
		case seen[name]:
			d.fail(m.Name.StartOffset, "field %q is given twice in %s", name, what)
		default:
			spec.read(&m.Value)
		}
		seen[name] = true
	}
	for _, name := range []string{"rules", "name", "when", "then"} {
		if specs[name].required && !seen[name] {
			d.fail(v.StartOffset, "%s has no field %q", what, name)
		}
	}
}

// value decodes a literal into a string, number or boolean.
func (d *decoder) value(v *hujson.Value, name string, into any) {
	literal, ok := v.Value.(hujson.Literal)
	if ok && literal.Kind() != 'n' {
		if err := json.Unmarshal(literal, into); err == nil {
			return
		}
	}
	d.fail(v.StartOffset, "%s must be %s", name, typeName(into))
}

func typeName(into any) string {
	switch into.(type) {
	case *int:
		return "a whole number"
	case *float64:
		return "a number"
	case *bool:
		return "true or false"
	default:
		return "a string"
	}
}

// literalOffset returns the offset, within a string literal with its quotes, of
// the character with the given index in the decoded string.
func literalOffset(literal []byte, index int) int {
	offset := 1
	for range index {
		if offset >= len(literal)-1 {
			break
		}
		offset += characterLength(literal[offset:])
	}
	return min(offset, len(literal)-1)
}

// Lengths of the escapes of a JSON string.
const (
	shortEscape   = len(`\n`)
	unicodeEscape = len(`\u0000`)
)

func characterLength(s []byte) int {
	if s[0] != '\\' {
		_, n := utf8.DecodeRune(s)
		return n
	}
	if len(s) < unicodeEscape || s[1] != 'u' {
		return shortEscape
	}
	high, _ := strconv.ParseUint(string(s[2:unicodeEscape]), 16, 16)
	surrogate := high >= 0xd800 && high < 0xdc00
	if surrogate && len(s) >= 2*unicodeEscape && s[unicodeEscape] == '\\' && s[unicodeEscape+1] == 'u' {
		return 2 * unicodeEscape
	}
	return unicodeEscape
}
