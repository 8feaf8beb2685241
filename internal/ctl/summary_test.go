package ctl

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The summary must count each request under its rule and the cause for which it was
// late, with one request for each cause.
func TestSummaryCountsLateCauses(t *testing.T) {
	attempt := func(id, fields string) string {
		return `{"time":"2026-05-01T10:00:00.010Z","msg":"attempt","instance":"a","request":"` + id + `","done":true,` + fields + `}` + "\n"
	}
	answered := func(id, fields string) string {
		return `7.1 a {"time":"2026-05-01T10:00:00.020Z","msg":"answered","instance":"a","request":"` + id + `","rule":"r","objective_ms":100,"gap_objective_ms":150,` + fields + `}` + "\n"
	}
	log := attempt("1", `"expected_ms":50,"first_ms":60,"read_ms":40,"expected_gap_ms":20`) + answered("1", `"first_ms":60,"gap_ms":40`) +
		attempt("2", `"expected_ms":50,"first_ms":60`) + answered("2", `"first_ms":60,"gap_ms":240`) +
		attempt("3", `"expected_ms":500,"first_ms":600,"behind":true`) + answered("3", `"first_ms":600,"gap_ms":40`) +
		attempt("4", `"expected_ms":50,"first_ms":160,"read_ms":140`) + answered("4", `"first_ms":161,"gap_ms":40`) +
		attempt("5", `"expected_ms":50,"first_ms":160,"read_ms":40`) + answered("5", `"first_ms":161,"gap_ms":40`) +
		attempt("6", `"expected_ms":50,"first_ms":60,"read_ms":40`) + answered("6", `"first_ms":161,"gap_ms":40`) +
		`{"time":"2026-05-01T10:00:00.030Z","msg":"failed","instance":"b","request":"7","rule":"r","reason":"no place","comeback":false}` + "\n" +
		`{"time":"2026-05-01T10:00:00.040Z","msg":"failed","instance":"b","request":"8","rule":"r","reason":"no place","comeback":true}` + "\n" +
		"not a line\n"
	out, _, code := runCommand(t, log, "summary")
	require.Equal(t, ExitOK, code)
	for _, c := range []lateCause{
		causeNone, causeLongGap, causeAdmittedLate, causeSlowPrefill, causeSlowHandoff, causeEarlierAttempts,
		"refused or failed: no place", "refused again: no place",
	} {
		require.Contains(t, out, "0.125  "+string(c))
	}
	causes, errors, _ := strings.Cut(out, "\n\n")
	require.Len(t, strings.Split(causes, "\n"), 9)
	require.Regexp(t, `r +6 +0\.20, 2\.20 +1\.00, 1\.00$`, strings.TrimSpace(errors), "first events off by 0.2 to 2.2")

	_, errs, code := runCommand(t, "not a line\n", "summary")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errs, "no line")
}
