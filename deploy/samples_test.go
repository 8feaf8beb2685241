// Package deploy contains the sample deployments. Its tests check that they can be
// used without changes.
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

// The sample rules must be valid and must match typical requests, which are otherwise
// refused because no rule matches.
func TestSampleRulesMatchTypicalRequests(t *testing.T) {
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

// Calls that must not run twice must be protected, on subpaths too; lookups must be
// repeatable.
func TestSampleRulesProtectNonIdempotentCalls(t *testing.T) {
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

// Both samples may run on one machine at the same time, so they must not share an
// address.
func TestSamplesShareNoAddress(t *testing.T) {
	var networks []netip.Prefix
	for _, name := range samples {
		d, err := settings.Load(name + "/settings.json")
		require.NoError(t, err)
		addresses := []string{d.Platform.Log, d.Platform.Instances, d.Platform.Weights}
		for _, in := range d.Instances {
			addresses = append(addresses, in.Callers, in.Operators, in.Peers, in.ControllerOperators, in.ControllerPeers)
		}
		for _, u := range d.Upstreams {
			addresses = append(addresses, u.Address)
		}
		var network netip.Prefix
		for _, a := range addresses {
			prefix, err := netip.MustParseAddrPort(a).Addr().Prefix(16)
			require.NoError(t, err)
			require.True(t, !network.IsValid() || network == prefix, "one /16 network for each deployment")
			network = prefix
		}
		require.NotContains(t, networks, network)
		networks = append(networks, network)
	}
}
