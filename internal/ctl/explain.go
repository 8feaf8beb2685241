package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"tamarackchute/internal/telemetry"

	"github.com/rotisserie/eris"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// logLine is a parsed line of a daemon's log.
type logLine struct {
	Time     time.Time
	Message  string
	Instance string
	// Fields holds the undecoded values of all other keys except the level.
	Fields map[string]json.RawMessage
	// raw is the JSON text of the line.
	raw []byte
}

func prepareExplain(flags *flag.FlagSet) runner {
	file := flags.String("log", "-", "`file` with the daemons' log lines, several separated by commas; - is standard input")
	withConcurrent := flags.Bool("beside", false, "also print the prompts that the same engine prefilled concurrently; needs files")
	return func(s *session, operands []string) error {
		if *withConcurrent && *file == "-" {
			return usageError("explain: -beside reads the logs twice and needs -log")
		}
		lines, err := s.explain(operands[0], *file)
		if err != nil || !*withConcurrent {
			return err
		}
		return s.explainConcurrent(lines, operands[0], *file)
	}
}

// explain prints the log lines about one request from the given logs of all daemons
// in chronological order, and returns them. Lines on what upstreams had asked for meanwhile,
// in responses to other requests, are printed with them.
func (s *session) explain(id, files string) ([]logLine, error) {
	lines, advice, err := s.requestLines(files, id)
	if err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, &exitError{code: ExitFailed, message: fmt.Sprintf("no line names the request %q", id)}
	}
	shown := append(adviceFor(lines, advice), lines...)
	sortByTime(shown)
	for _, l := range shown {
		s.printLine(l, lines[0].Time)
	}
	return lines, nil
}

func (s *session) printLine(l logLine, start time.Time) {
	if s.format == formatJSON {
		fmt.Fprintf(s.Stdout, "%s\n", l.raw)
		return
	}
	fmt.Fprintf(s.Stdout, "%10.3f ms  %-28s %-9s", telemetry.Millis(l.Time.Sub(start)), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(s.Stdout, " %s=%s", name, l.Fields[name])
	}
	fmt.Fprintln(s.Stdout)
}

// requestLines returns the lines of all files about a request, and those on what upstreams
// have asked for in responses to other requests, each ordered by time.
func (s *session) requestLines(files, id string) (lines, advice []logLine, err error) {
	quoted, err := json.Marshal(id)
	if err != nil {
		return nil, nil, err
	}
	lines, err = s.filterLines(files, func(text []byte) (logLine, bool) {
		l, ok := parseRequestLine(text, quoted)
		if ok || !isAdvice(text) {
			return l, ok
		}
		if l, ok := parseLine(text); ok {
			advice = append(advice, l)
		}
		return logLine{}, false
	})
	sortByTime(advice)
	return lines, advice, err
}

func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
}

// filterLines returns the parsed lines of all files that match accepts, ordered by
// time.
func (s *session) filterLines(files string, match func(text []byte) (logLine, bool)) ([]logLine, error) {
	var lines []logLine
	for name := range strings.SplitSeq(files, ",") {
		found, err := s.readLines(name, match)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	sortByTime(lines)
	return lines, nil
}

// readLines returns the parsed lines of one file, or of standard input if name is
// "-", that match accepts.
func (s *session) readLines(name string, match func(text []byte) (logLine, bool)) ([]logLine, error) {
	var in io.Reader = s.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "open log")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := match(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, eris.Wrapf(scanner.Err(), "read log %s", name)
}

// parseRequestLine parses a line if it is about the request; quotedID is the request
// ID as a JSON string. The result lacks the field "request".
func parseRequestLine(text, quotedID []byte) (logLine, bool) {
	if !bytes.Contains(text, quotedID) {
		return logLine{}, false
	}
	l, ok := parseLine(text)
	if !ok || !bytes.Equal(l.Fields["request"], quotedID) {
		return logLine{}, false
	}
	delete(l.Fields, "request")
	return l, true
}

// parseLine parses a line of any daemon. It skips a prefix that a log collector put
// before the JSON object.
func parseLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	text = bytes.Clone(text[start:])
	l := logLine{raw: text}
	if json.Unmarshal(text, &l.Fields) != nil {
		return logLine{}, false
	}
	err := cmp.Or(
		json.Unmarshal(l.Fields["time"], &l.Time),
		json.Unmarshal(l.Fields["msg"], &l.Message),
		json.Unmarshal(l.Fields["instance"], &l.Instance),
	)
	for _, name := range []string{"time", "msg", "instance", "level"} {
		delete(l.Fields, name)
	}
	return l, err == nil
}
