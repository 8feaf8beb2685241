// Package deploy holds the sample deployments; its tests hold that they can be
// used as they are.
package deploy

import (
	"net/netip"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/operator/api"
	"tamarackchute/internal/settings"
	"tamarackchute/rules"
)

var samples = []string{"kalku-rinda", "regnbrunnur"}

// An operator publishes the sample rules and gets problems, or callers' usual
// requests fall through to "no rule matches".
func TestSampleRulesServeTheUsualRequests(t *testing.T) {
	for _, name := range samples {
		d, err := settings.Load(name + "/settings.json")
		require.NoError(t, err)
		document, err := os.ReadFile(d.InitialRules)
		require.NoError(t, err)
		set, err := rules.Parse(document, api.KnownNames(d))
		require.NoError(t, err)

		model := d.Upstreams[0].Models[0]
		short := set.Match(rules.Request{Model: model, PromptTokens: 100, OutputTokens: 200})
		long := set.Match(rules.Request{Model: model, PromptTokens: 6000, OutputTokens: 100})
		require.True(t, short.Matched && long.Matched)
		require.Greater(t, short.Then.Priority, long.Then.Priority)
		require.Equal(t, rules.ClassShort, short.Then.Class)
	}
}

// Calls that may not be repeated must be protected, whatever the path below.
func TestSampleRulesProtectWhatMayNotRunTwice(t *testing.T) {
	for name, paths := range map[string][]string{
		"kalku-rinda": {"/bookings", "/bookings/7", "/slips", "/route-sheets"},
		"regnbrunnur": {"/check-ins", "/check-ins/7", "/alarms/3/acknowledgement"},
	} {
		d, err := settings.Load(name + "/settings.json")
		require.NoError(t, err)
		document, err := os.ReadFile(d.InitialRules)
		require.NoError(t, err)
		set, err := rules.Parse(document, api.KnownNames(d))
		require.NoError(t, err)
		for _, path := range paths {
			require.True(t, set.Match(rules.Request{Method: "POST", Path: path}).Then.Protected, path)
			lookup := set.Match(rules.Request{Method: "GET", Path: path})
			require.False(t, lookup.Then.Protected, path)
			require.Equal(t, rules.RetryRepeatable, lookup.Then.Retry, path)
		}
	}
}

// Both samples may run on one machine at once, so they share no address.
func TestSamplesShareNoAddress(t *testing.T) {
	var nets []netip.Prefix
	for _, name := range samples {
		d, err := settings.Load(name + "/settings.json")
		require.NoError(t, err)
		all := []string{d.Platform.Log, d.Platform.Instances, d.Platform.Weights}
		for _, in := range d.Instances {
			all = append(all, in.Callers, in.Operators, in.Peers, in.ControllerOperators, in.ControllerPeers)
		}
		for _, u := range d.Upstreams {
			all = append(all, u.Address)
		}
		var net netip.Prefix
		for _, a := range all {
			of, err := netip.MustParseAddrPort(a).Addr().Prefix(16)
			require.NoError(t, err)
			require.True(t, !net.IsValid() || net == of, "one /16 a deployment")
			net = of
		}
		require.NotContains(t, nets, net)
		nets = append(nets, net)
	}
}
