package relay

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/fleet"
	"tamarackchute/placement"
	"tamarackchute/upstream"
)

type outageLine struct {
	Message     string         `json:"msg"`
	AfterStart  int            `json:"after_start_ms"`
	Lasted      int            `json:"lasted_ms"`
	Failed      map[string]int `json:"failed"`
	PrefillOnly int            `json:"prefill_only"`
}

// Guards against a pool that doesn't come back after a start while no line says why.
func TestOutageOfAPoolIsLoggedWithItsReasons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		state := fleet.NewState()
		r := New(Config{State: state, Tracker: placement.NewTracker(nil), Logger: slog.New(slog.NewJSONHandler(&out, nil))})
		state.SetUpstreams(map[string]*fleet.Upstream{"e1": {ID: "e1", Pool: "llm", Role: upstream.RolePrefill, Slots: 4}})
		fail := func(why reason) { r.outages.record("llm", newFailure(http.StatusServiceUnavailable, why, "")) }
		for range 25 {
			fail(reasonNoCapacity)
			fail(reasonCallerGone)
			time.Sleep(100 * time.Millisecond)
		}
		fail(reasonUnreachable)
		r.outages.record("llm", nil)
		fail(reasonNoCapacity)
		time.Sleep(100 * time.Millisecond)
		r.outages.record("llm", nil)
		time.Sleep(5 * time.Second)
		fail(reasonNoCapacity)
		time.Sleep(time.Second)
		fail(reasonNoCapacity)
		r.outages.record("llm", nil)

		var lines []outageLine
		for text := range strings.Lines(out.String()) {
			var l outageLine
			require.NoError(t, json.Unmarshal([]byte(text), &l))
			lines = append(lines, l)
		}
		require.Equal(t, []outageLine{
			{Message: "pool not served", AfterStart: 1000, Lasted: 1000, Failed: map[string]int{"no place": 11}, PrefillOnly: 1},
			{Message: "pool not served", AfterStart: 2000, Lasted: 2000, Failed: map[string]int{"no place": 21}, PrefillOnly: 1},
			{Message: "pool served for the first time", AfterStart: 2500, Lasted: 2500, Failed: map[string]int{"no place": 25, "unreachable": 1}, PrefillOnly: 1},
			{Message: "pool not served", AfterStart: 8600, Lasted: 1000, Failed: map[string]int{"no place": 2}, PrefillOnly: 1},
			{Message: "pool served again", AfterStart: 8600, Lasted: 1000, Failed: map[string]int{"no place": 2}, PrefillOnly: 1},
		}, lines)
	})
}
