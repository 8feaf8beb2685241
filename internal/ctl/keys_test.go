package ctl

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/apikey"
)

// The operators' way of a key: listed by fingerprint, added, rotated with two valid side by side,
// removed. No output contains a key.
func TestKeyCommands(t *testing.T) {
	f := newFixture(t)
	f.write("anna.json", annasRules)
	exit, _, errs := f.run("rules publish anna.json")
	require.Equal(t, ExitOK, exit, errs)
	var fingerprints []string
	run := func(line, key string) (ExitCode, string) {
		t.Helper()
		if key != "" {
			f.write("key", key+"\n")
			line += " -key-file " + f.dir + "/key"
			digest, err := apikey.DigestOf(key)
			require.NoError(t, err)
			fingerprints = append(fingerprints, digest.Fingerprint())
		}
		exit, out, errs := f.run(line)
		for _, key := range []string{"first-key", "second-key", "third-key"} {
			require.NotContains(t, out+errs, key)
		}
		return exit, out + errs
	}
	_, out := run("keys list", "")
	require.Contains(t, out, "no rule needs a key")
	exit, out = run("keys add farm", "first-key")
	require.Equal(t, ExitOK, exit, out)
	require.Contains(t, out, "the settings have no bound")
	exit, out = run("keys rotate farm", "second-key")
	require.Equal(t, ExitOK, exit, out)
	_, out = run("keys list", "")
	require.Contains(t, out, strings.Join(fingerprints, " "), "two keys are valid side by side")
	exit, out = run("keys rotate farm", "third-key")
	require.Equal(t, ExitOK, exit, out)
	_, out = run("keys list", "")
	require.NotContains(t, out, fingerprints[0])
	require.Contains(t, out, strings.Join(fingerprints[1:], " "))
	exit, out = run("keys remove farm "+fingerprints[1], "")
	require.Equal(t, ExitOK, exit, out)
	exit, out = run("keys remove farm "+fingerprints[1], "")
	require.Equal(t, ExitFailed, exit)
	require.Contains(t, out, "has no key")
	_, out = run("-o json keys list", "")
	require.JSONEq(t, `[{"name": "farm", "keys": ["`+fingerprints[2]+`"]}]`, out)
	_, out = run("audit -n 1", "")
	require.Contains(t, out, "remove key "+fingerprints[1]+" of farm")
	_, out = run("rules get", "")
	require.Contains(t, out, "// Bookings run once.")
}

// Guards against a removal whose answer doesn't say when it holds at instances that are cut off.
func TestRemovalSaysWhenItHolds(t *testing.T) {
	f := newFixture(t)
	f.write("anna.json", annasRules)
	exit, _, errs := f.run("rules publish anna.json")
	require.Equal(t, ExitOK, exit, errs)
	f.write("settings.json", strings.Replace(fmt.Sprintf(settingsTemplate, f.addresses[0], f.addresses[1]), `"security"`, `"keys": {"revocation_s": 5}, "security"`, 1))
	f.write("key", "first-key")
	exit, out, errs := f.run("keys add farm -key-file " + f.dir + "/key")
	require.Equal(t, ExitOK, exit, errs)
	require.Contains(t, out, "used by no instance after")
	require.Contains(t, out, "5s from now")
}
