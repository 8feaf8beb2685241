package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"tamarackchute/internal/settings"
)

func TestPageShowsMetrics(t *testing.T) {
	m := NewMetrics("chute-entry", "e1")
	m.Scope.Tagged(map[string]string{"reason": `a "b"`}).Counter("refused").Inc(2)
	m.Scope.Gauge("open_streams").Update(7.5)
	m.Scope.Timer("wait").Record(3 * time.Millisecond)
	buckets := tally.DurationBuckets{time.Millisecond, 2 * time.Millisecond}
	m.Scope.Histogram("first_token", buckets).RecordDuration(1500 * time.Microsecond)
	require.NoError(t, m.Close(), "Close reports the remaining values")

	var out bytes.Buffer
	_, err := m.Page.WriteTo(&out)
	require.NoError(t, err)
	page := out.String()
	for _, line := range []string{
		"# TYPE chute_refused counter\n",
		`chute_refused{instance="e1",program="chute-entry",reason="a \"b\""} 2` + "\n",
		`chute_open_streams{instance="e1",program="chute-entry"} 7.5` + "\n",
		`chute_wait_us_sum{instance="e1",program="chute-entry"} 3000` + "\n",
		`chute_first_token_bucket{instance="e1",program="chute-entry",up_to="2ms"} 1` + "\n",
	} {
		require.Contains(t, page, line)
	}
}

func TestLoggerFollowsSettings(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out, settings.Logging{Format: "json", Level: "warn"}, "chute-entry", "e1")
	log.Info("not shown")
	log.Warn("shown")
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `"instance":"e1"`)
}
