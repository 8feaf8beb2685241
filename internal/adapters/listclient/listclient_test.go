package listclient_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/listclient"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/standin/standintest"
	"tamarackchute/platform"
)

func TestInstances(t *testing.T) {
	e1 := platform.Instance{Name: "e1", Kind: platform.KindEntry, DataCentre: "a"}
	s1 := platform.Instance{Name: "s1", Kind: platform.KindService, DataCentre: "a"}
	leaving := s1
	leaving.Leaving = true
	cases := []struct {
		name   string
		faults string
		want   []platform.Instance
		err    error
	}{
		{"as set up", `{}`, []platform.Instance{e1, s1}, nil},
		{"one leaves", `{"leaving":["s1"]}`, []platform.Instance{e1, leaving}, nil},
		{"one has left", `{"remove":["s1"]}`, []platform.Instance{e1}, nil},
		{"one is new", `{"remove":["e1"],"add":[{"name":"e1","kind":"entry","data_centre":"a"}]}`, []platform.Instance{s1, e1}, nil},
		{"the list is behind", `{"lag_ms":3600000,"remove":["s1"]}`, []platform.Instance{e1, s1}, nil},
		{"outage", `{"outage":"error"}`, nil, platform.ErrUnavailable},
		{"outage without answers", `{"outage":"hang"}`, nil, platform.ErrUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, err := standin.NewList(standin.ListConfig{Addr: "127.0.0.1:0", Rows: []platform.Instance{e1, s1}})
			require.NoError(t, err)
			standintest.Serve(t, l)
			standintest.Faults(t, l, tc.faults)
			c := listclient.New(l.Addr(), httpx.Options{Timeout: 200 * time.Millisecond})
			got, err := c.Instances(t.Context())
			require.ErrorIs(t, err, tc.err)
			assert.Equal(t, tc.want, got)
		})
	}
}
