package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// lineIndex maps each key path that is present in a file to its line.
type lineIndex map[string]int

// lineOf returns the line of a key, or of its nearest ancestor in the file, so that
// a missing key is reported at the object that lacks it.
func (ix lineIndex) lineOf(key string) int {
	for {
		if line, ok := ix[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return ix[""]
		}
		key = key[:cut]
	}
}

// decoder fills a struct from a syntax tree and reports every problem with its line;
// encoding/json stops at the first error and reports no line.
type decoder struct {
	data     []byte
	problems *problems
}

func (dec decoder) decode(v hujson.Value, key string, into any) {
	dec.value(v, key, reflect.ValueOf(into).Elem())
}

func (dec decoder) value(v hujson.Value, key string, into reflect.Value) {
	line := dec.line(v)
	if _, ok := dec.problems.lines[key]; !ok {
		dec.problems.lines[key] = line
	}
	switch into.Kind() {
	case reflect.Struct:
		dec.object(v, key, into)
	case reflect.Slice:
		dec.array(v, key, into)
	default:
		dec.scalar(v, key, into)
	}
}

func (dec decoder) object(v hujson.Value, key string, into reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		dec.problems.addAt(dec.line(v), key, "must be an object")
		return
	}
	fields := fieldsByName(into.Type())
	seen := map[string]int{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := joinKey(key, name)
		line := dec.line(m.Name)
		if first, twice := seen[name]; twice {
			dec.problems.addAt(line, path, "stands twice; first on line %d", first)
			continue
		}
		seen[name] = line
		field, known := fields[name]
		if !known {
			dec.problems.addAt(line, path, "unknown key")
			continue
		}
		dec.problems.lines[path] = line
		dec.value(m.Value, path, into.Field(field))
	}
}

func (dec decoder) array(v hujson.Value, key string, into reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		dec.problems.addAt(dec.line(v), key, "must be a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		dec.value(e, fmt.Sprintf("%s[%d]", key, i), into.Index(i))
	}
}

func (dec decoder) scalar(v hujson.Value, key string, into reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		dec.problems.addAt(dec.line(v), key, "must be %s", kindName(into.Kind()))
		return
	}
	if err := json.Unmarshal(lit, into.Addr().Interface()); err != nil {
		dec.problems.addAt(dec.line(v), key, "must be %s, not %s", kindName(into.Kind()), lit)
	}
}

func (dec decoder) line(v hujson.Value) int {
	return 1 + bytes.Count(dec.data[:v.StartOffset], []byte("\n"))
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		panic("settings: unsupported field kind " + k.String())
	}
}

func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = i
	}
	return fields
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// syntaxLine matches the line number in a message such as
// "hujson: line 3, column 5: invalid character".
var syntaxLine = regexp.MustCompile(`line (\d+), column`)

func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Message: strings.TrimPrefix(err.Error(), "hujson: ")}
	if m := syntaxLine.FindStringSubmatch(p.Message); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
	}
	return p
}
