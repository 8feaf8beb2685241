package discovery

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/settings"
	"tamarackchute/membership"
)

type members map[string]membership.State

func (m members) State(name string) membership.State { return m[name] }

// Guards against callers that cache the address of an instance about to exit: an
// instance that shuts down must be missing from every response from then on. A
// suspected instance must not precede a live one, however near.
func TestLocateNamesServingInstances(t *testing.T) {
	d := &settings.Deployment{
		DataCentres: []settings.DataCentre{{Name: "hella"}, {Name: "vik"}, {Name: "selfoss"}},
		Links: []settings.Link{
			{From: "hella", To: "vik", OneWayMillis: 0.9},
			{From: "hella", To: "selfoss", OneWayMillis: 0.5},
			{From: "vik", To: "selfoss", OneWayMillis: 0.7},
		},
		Instances: []settings.Instance{
			{Name: "h1", DataCentre: "hella", Callers: "10.0.0.1:1"},
			{Name: "h2", DataCentre: "hella", Callers: "10.0.0.2:1"},
			{Name: "v1", DataCentre: "vik", Callers: "10.0.0.3:1"},
			{Name: "s1", DataCentre: "selfoss", Callers: "10.0.0.4:1"},
		},
		Discovery: settings.Discovery{TTLSeconds: 5},
	}
	m := members{"h2": membership.Live, "v1": membership.Live, "s1": membership.Live}
	dir := New(d, d.Instances[0], m)
	names := func(dc string) []string {
		got := []string{}
		for _, a := range dir.Locate(dc).Addresses {
			got = append(got, a.Instance)
		}
		return got
	}
	require.Equal(t, []string{"h1", "h2", "s1", "v1"}, names(""))
	require.Equal(t, []string{"h2", "h1", "s1", "v1"}, names("nowhere"), "instances rotate")
	require.Equal(t, []string{"v1", "s1", "h1", "h2"}, names("vik"))
	require.Equal(t, []string{"v1", "s1", "h2", "h1"}, names("vik"), "within a data centre only")
	require.Equal(t, Address{"10.0.0.3:1", "vik", "v1"}, dir.Locate("vik").Addresses[0])
	require.InDelta(t, 5, dir.Locate("").MaxAgeSeconds, 0)

	m["h2"], m["s1"] = membership.Suspected, membership.Leaving
	require.Equal(t, []string{"h1", "v1", "h2"}, names("hella"))
	m["v1"] = membership.Gone
	dir.BeginShutdown()
	require.Equal(t, []string{"h2"}, names("hella"))
}
