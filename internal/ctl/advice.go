package ctl

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"
)

// Messages of the lines that say what an upstream has asked for in a response.
const (
	messageLeaves  = "upstream leaves"
	messageBackoff = "upstream backoff"
)

// leavingShown is how long after an upstream has said that it leaves this is shown with
// requests.
const leavingShown = 30 * time.Second

// isAdvice reports whether the text of a line may say what an upstream has asked for.
func isAdvice(text []byte) bool {
	return bytes.Contains(text, []byte(`"`+messageLeaves+`"`)) || bytes.Contains(text, []byte(`"`+messageBackoff+`"`))
}

// adviceFor returns those lines on what upstreams have asked for that a daemon which handled
// the request had to heed meanwhile: of its pool, and in effect.
func adviceFor(request, advice []logLine) []logLine {
	return slices.DeleteFunc(slices.Clone(advice), func(a logLine) bool {
		return !slices.ContainsFunc(request, func(l logLine) bool { return a.concerns(l) })
	})
}

// concerns reports whether what an upstream has asked for was in effect during what another
// line of the same daemon describes.
func (l logLine) concerns(o logLine) bool {
	if l.Instance != o.Instance || !bytes.Equal(l.Fields["pool"], o.Fields["pool"]) {
		return false
	}
	until := l.Time.Add(leavingShown)
	if l.Message == messageBackoff {
		until = l.Time.Add(l.millisOf("backoff_ms"))
	}
	start := o.Time.Add(-max(o.millisOf("took_ms"), o.millisOf("lasted_ms")))
	return l.Time.Before(o.Time) && start.Before(until)
}

// millisOf returns the duration in a field in milliseconds, 0 if there is none.
func (l logLine) millisOf(field string) time.Duration {
	var ms float64
	if json.Unmarshal(l.Fields[field], &ms) != nil {
		return 0
	}
	return milliseconds(ms)
}
