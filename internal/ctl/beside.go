package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// reading is a prompt's reading at an engine, as an "attempt" line tells it.
type reading struct {
	engine     string
	began, end time.Time
	uncached   int
}

// readingOf takes the reading from a line; ok is false if it tells none.
func readingOf(l logLine) (r reading, ok bool) {
	var fields struct {
		Upstream, Prefill string
		Lasted            float64 `json:"lasted_ms"`
		Read              float64 `json:"read_ms"`
		Uncached          int
	}
	if l.Message != "attempt" || json.Unmarshal(l.raw, &fields) != nil || fields.Read == 0 {
		return reading{}, false
	}
	r.engine = fields.Upstream
	if fields.Prefill != "" {
		r.engine = fields.Prefill
	}
	r.began = l.Time.Add(-milliseconds(fields.Lasted))
	r.end = r.began.Add(milliseconds(fields.Read))
	r.uncached = fields.Uncached
	return r, true
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// overlaps reports whether two prompts were at the same engine at the same time.
func (r reading) overlaps(o reading) bool {
	return r.engine == o.engine && r.began.Before(o.end) && o.began.Before(r.end)
}

// explainBeside prints, for each reading of the request's prompt that its own lines
// tell, those of other requests that the engine had at the same time, from all
// daemons.
func (s *session) explainBeside(own []logLine, id, files string) error {
	for _, l := range own {
		if r, ok := readingOf(l); ok {
			if err := s.printBeside(r, id, files); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *session) printBeside(r reading, id, files string) error {
	engine, quoted := []byte(r.engine), []byte(fmt.Sprintf("%q", id))
	lines, err := s.linesWhere(files, func(text []byte) (logLine, bool) {
		if !bytes.Contains(text, engine) || bytes.Contains(text, quoted) {
			return logLine{}, false
		}
		l, ok := parseLine(text)
		if !ok {
			return logLine{}, false
		}
		other, ok := readingOf(l)
		return l, ok && other.overlaps(r)
	})
	if err != nil {
		return err
	}
	tokens := 0
	for _, l := range lines {
		other, _ := readingOf(l)
		tokens += other.uncached
		s.printLine(l, r.began)
	}
	if s.form != formJSON {
		fmt.Fprintf(s.Stdout, "%s read %d other prompts meanwhile, %d tokens not kept there\n", r.engine, len(lines), tokens)
	}
	return nil
}
