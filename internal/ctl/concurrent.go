package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// prefillInterval is the time during which an engine prefilled a prompt, taken from
// an "attempt" log line.
type prefillInterval struct {
	engine         string
	start, end     time.Time
	uncachedTokens int
}

// parsePrefill returns the prefill recorded in a line; ok is false if there is none.
func parsePrefill(l logLine) (r prefillInterval, ok bool) {
	var fields struct {
		Upstream, Prefill string
		Duration          float64 `json:"lasted_ms"`
		PrefillTime       float64 `json:"read_ms"`
		Uncached          int
	}
	if l.Message != "attempt" || json.Unmarshal(l.raw, &fields) != nil || fields.PrefillTime == 0 {
		return prefillInterval{}, false
	}
	r.engine = fields.Upstream
	if fields.Prefill != "" {
		r.engine = fields.Prefill
	}
	r.start = l.Time.Add(-milliseconds(fields.Duration))
	r.end = r.start.Add(milliseconds(fields.PrefillTime))
	r.uncachedTokens = fields.Uncached
	return r, true
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// overlaps reports whether the same engine prefilled both prompts at the same time.
func (r prefillInterval) overlaps(o prefillInterval) bool {
	return r.engine == o.engine && r.start.Before(o.end) && o.start.Before(r.end)
}

// explainConcurrent prints, for each prefill recorded in the request's lines, the
// concurrent prefills of other requests at the same engine, sent by any daemon.
func (s *session) explainConcurrent(lines []logLine, id, files string) error {
	for _, l := range lines {
		if r, ok := parsePrefill(l); ok {
			if err := s.printConcurrent(r, id, files); err != nil {
				return err
			}
		}
	}
	return nil
}

// printConcurrent prints the prefills of other requests that overlap r, and their
// total. Only lines whose text names the engine but not the request are parsed.
func (s *session) printConcurrent(r prefillInterval, id, files string) error {
	engine, quoted := []byte(r.engine), []byte(fmt.Sprintf("%q", id))
	lines, err := s.filterLines(files, func(text []byte) (logLine, bool) {
		if !bytes.Contains(text, engine) || bytes.Contains(text, quoted) {
			return logLine{}, false
		}
		l, ok := parseLine(text)
		if !ok {
			return logLine{}, false
		}
		other, ok := parsePrefill(l)
		return l, ok && other.overlaps(r)
	})
	if err != nil {
		return err
	}
	tokens := 0
	for _, l := range lines {
		other, _ := parsePrefill(l)
		tokens += other.uncachedTokens
		s.printLine(l, r.start)
	}
	if s.format != formatJSON {
		fmt.Fprintf(s.Stdout, "%s read %d other prompts meanwhile, %d tokens not kept there\n", r.engine, len(lines), tokens)
	}
	return nil
}
