package codec

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

type sample struct {
	Name  string            `msgpack:"n"`
	At    time.Time         `msgpack:"t"`
	Parts []sample          `msgpack:"p"`
	Tags  map[string]string `msgpack:"g"`
}

func TestUnmarshalRoundTrip(t *testing.T) {
	want := sample{Name: "a", At: time.Unix(7, 9), Parts: []sample{{Name: "b", At: time.Unix(1, 0)}}, Tags: map[string]string{"k": "v"}}
	data, err := msgpack.Marshal(want)
	require.NoError(t, err)
	var got sample
	require.NoError(t, Unmarshal(data, &got))
	require.Equal(t, want.Parts[0].Name, got.Parts[0].Name)
	require.True(t, want.At.Equal(got.At))
}

// Guards against bytes that crash the process because the decoder allocates as many
// elements as they claim, panics, or recurses too deeply.
func TestUnmarshalRejectsHarmfulBytes(t *testing.T) {
	for name, data := range map[string][]byte{
		"4 G elements":        []byte("\x81\xa1p\xdd\xff\xff\xff\xff"),
		"4 G map members":     []byte("\x81\xa1g\xdf\xff\xff\xff\xff"),
		"4 G bytes":           []byte("\x81\xa1n\xdb\xff\xff\xff\xff"),
		"nil as a time":       []byte("\x92\xa1n\xc0"),
		"a million levels":    append([]byte("\x81\xa1x"), append(bytes.Repeat([]byte{0x91}, 1<<20), 0xc0)...),
		"nothing":             nil,
		"bytes after the end": []byte("\x80\x80"),
	} {
		t.Run(name, func(t *testing.T) {
			require.ErrorIs(t, Unmarshal(data, &sample{}), ErrMalformed)
		})
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte("\x81\xa1p\xdd\x8e\xa5\x91\x82"))
	f.Add([]byte("\x91\xc0"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := Unmarshal(data, &sample{}); err != nil {
			require.ErrorIs(t, err, ErrMalformed)
		}
	})
}

func TestNextDecodesSuccessiveValues(t *testing.T) {
	data := []byte("\x81\xa1n\xa1a\x81\xa1n\xa1b\x81\xa1p\xdd\xff\xff\xff\xff")
	var names []string
	var err error
	for err == nil {
		var s sample
		if data, err = Next(data, &s); err == nil {
			names = append(names, s.Name)
		}
	}
	require.Equal(t, []string{"a", "b"}, names)
	require.ErrorIs(t, err, ErrMalformed)
}
