package settings

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Each testdata/*.json is an invalid settings file; its golden file lists every
// problem as an operator sees it, with file, line and key.
func TestParseReportsEveryProblem(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			_, err = Parse(filepath.Base(file), data)
			require.Error(t, err)
			golden := strings.TrimSuffix(file, ".json") + ".golden"
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(err.Error()+"\n"), 0o644))
			}
			want, readErr := os.ReadFile(golden)
			require.NoError(t, readErr)
			require.Equal(t, string(want), err.Error()+"\n")
		})
	}
}

func TestSampleDeploymentsLoad(t *testing.T) {
	for name, engines := range map[string]int{"kalku-rinda": 8, "regnbrunnur": 11} {
		d, err := Load("../../deploy/" + name + "/settings.json")
		require.NoError(t, err)
		require.Len(t, d.Instances, 7)
		count := 0
		for _, u := range d.Upstreams {
			if u.Kind == KindEngine {
				count++
			}
		}
		require.Equal(t, engines, count)
		require.FileExists(t, d.InitialRules, "paths are relative to the settings file's directory")
		_, err = d.Security.PeerSecret()
		require.Error(t, err, "the repository must not contain a peer secret")
	}
}

func TestDefaultsFillMissingParts(t *testing.T) {
	d, err := Parse("small.json", []byte(minimalSettings))
	require.NoError(t, err)
	require.Equal(t, Defaults().Roles, d.Roles)
	require.Equal(t, Streams{MaxBufferedBytes: 65536, MaxTotalBufferedBytes: 16777216, DefaultDeadlineSeconds: 120}, d.Streams)
	require.Equal(t, 9.0, d.Lease.TermSeconds)
	require.Equal(t, Defaults().Lease.RenewSeconds, d.Lease.RenewSeconds)
}

func TestNearestOrdersByLatencyThenName(t *testing.T) {
	d := Deployment{
		DataCentres: []DataCentre{{"far"}, {"near-b"}, {"near-a"}, {"here"}},
		Links: []Link{
			{"here", "far", 3}, {"near-b", "here", 1.5}, {"here", "near-a", 1.5},
			{"far", "near-a", 1}, {"far", "near-b", 1}, {"near-a", "near-b", 1},
		},
	}
	require.Equal(t, []string{"here", "near-a", "near-b", "far"}, d.Nearest("here"))
	require.Equal(t, 1500*time.Microsecond, d.OneWayLatency("here", "near-b"))
}

// Any input yields either a valid deployment or problems that name the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(`{"instances": [{"name": 3, "name": null}], "links": {}, /* open`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("fuzz.json", data)
		if err == nil {
			return
		}
		for _, p := range err.(*Error).Problems {
			require.Equal(t, "fuzz.json", p.File)
			require.NotEmpty(t, p.Message)
		}
	})
}

const minimalSettings = `{
  "name": "small",
  "data_centres": [{"name": "a"}],
  "instances": [{
    "name": "i1", "data_centre": "a",
    "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3",
    "controller_operators": "127.0.0.1:4", "controller_peers": "127.0.0.1:5",
  }],
  "upstreams": [
    {"name": "e1", "kind": "engine", "data_centre": "a", "address": "127.0.0.1:6",
     "pool": "p", "models": ["m"], "role": "mixed", "fencing": "none"},
  ],
  "platform": {"log": "127.0.0.1:7", "instances": "127.0.0.1:7", "weights": "127.0.0.1:7"},
  "lease": {"term_s": 9},
  "security": {"peer_secret_file": "secret"},
}`

// Operators find settings only through the documentation, so a key that is missing
// there can't be used.
func TestEveryKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	require.NoError(t, err)
	var walk func(key string, typ reflect.Type)
	walk = func(key string, typ reflect.Type) {
		switch {
		case typ.Kind() == reflect.Struct:
			for i := range typ.NumField() {
				walk(joinKey(key, jsonName(typ.Field(i))), typ.Field(i).Type)
			}
		case typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
			walk(key+"[]", typ.Elem())
		default:
			last := key[strings.LastIndex(key, ".")+1:]
			if !strings.Contains(string(page), "`"+key+"`") && !strings.Contains(string(page), "`."+last+"`") {
				t.Errorf("%s isn't in docs/operators/settings.md", key)
			}
		}
	}
	walk("", reflect.TypeFor[Deployment]())
}
