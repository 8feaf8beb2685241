package listclient_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/listclient"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/standin/standintest"
)

func TestInstances(t *testing.T) {
	e1 := infra.Instance{Name: "e1", Kind: infra.KindEntry, DataCentre: "a"}
	s1 := infra.Instance{Name: "s1", Kind: infra.KindService, DataCentre: "a"}
	terminating := s1
	terminating.Terminating = true
	cases := []struct {
		name   string
		faults string
		want   []infra.Instance
		err    error
	}{
		{"unchanged", `{}`, []infra.Instance{e1, s1}, nil},
		{"one is terminating", `{"leaving":["s1"]}`, []infra.Instance{e1, terminating}, nil},
		{"one is removed", `{"remove":["s1"]}`, []infra.Instance{e1}, nil},
		{"one is added", `{"remove":["e1"],"add":[{"name":"e1","kind":"entry","data_centre":"a"}]}`, []infra.Instance{s1, e1}, nil},
		{"the list lags", `{"lag_ms":3600000,"remove":["s1"]}`, []infra.Instance{e1, s1}, nil},
		{"outage", `{"outage":"error"}`, nil, infra.ErrUnavailable},
		{"outage without answers", `{"outage":"hang"}`, nil, infra.ErrUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, err := standin.NewList(standin.ListConfig{Addr: "127.0.0.1:0", Instances: []infra.Instance{e1, s1}})
			require.NoError(t, err)
			standintest.Serve(t, l)
			standintest.SetFaults(t, l, tc.faults)
			c := listclient.New(l.Addr(), httpx.Options{Timeout: 200 * time.Millisecond})
			got, err := c.Instances(t.Context())
			require.ErrorIs(t, err, tc.err)
			assert.Equal(t, tc.want, got)
		})
	}
}
