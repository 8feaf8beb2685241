package weightclient_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/weightclient"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/standin/standintest"
)

func TestVersions(t *testing.T) {
	stored := []infra.WeightVersion{{Model: "a b", Version: "v1", Bytes: 10}, {Model: "c", Version: "v1", Bytes: 5}}
	added := infra.WeightVersion{Model: "a b", Version: "v2", Bytes: 11}
	cases := []struct {
		name, faults, model string
		want                []infra.WeightVersion
		err                 error
	}{
		{"stored", `{}`, "a b", stored[:1], nil},
		{"unknown model", `{}`, "d", []infra.WeightVersion{}, nil},
		{"one added", `{"add":[{"model":"a b","version":"v2","bytes":11}]}`, "a b", append(stored[:1:1], added), nil},
		{"outage", `{"outage":"close"}`, "a b", nil, infra.ErrUnavailable},
		{"outage without answers", `{"outage":"hang"}`, "a b", nil, infra.ErrUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w, err := standin.NewWeightStore(standin.WeightStoreConfig{Addr: "127.0.0.1:0", BytesPerSecond: 100, Versions: stored})
			require.NoError(t, err)
			standintest.Serve(t, w)
			standintest.SetFaults(t, w, tc.faults)
			c := weightclient.New(w.Addr(), httpx.Options{Timeout: 200 * time.Millisecond})
			got, err := c.Versions(t.Context(), tc.model)
			require.ErrorIs(t, err, tc.err)
			assert.Equal(t, tc.want, got)
		})
	}
}
